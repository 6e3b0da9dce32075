package inifile_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/yuccaroute/yuccaroute/config/inifile"
)

// FuzzWithSection edits a section of any document that parses: the section
// must be the one asked for and every other one as it was.
func FuzzWithSection(f *testing.F) {
	f.Add([]byte("[a]\nx = 1\n; note\n[drain d]\nplace = p\n[b]\ny = 2\n"))
	f.Add([]byte("[drain d] ; note\nplace = p\n\n[drain  d]\n"))
	f.Add([]byte("[a]\nx = `[drain d]`\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		before, problems := inifile.Parse("f", text)
		if before == nil || len(problems) > 0 {
			return
		}
		keys := []inifile.Key{{Name: "place", Value: "q"}}
		edited := inifile.WithSection(text, "drain d", keys)
		after, problems := inifile.Parse("f", edited)
		if after == nil || len(problems) > 0 {
			return
		}
		section := after.Find("drain", "d")
		if section == nil || len(section.Keys) != 1 || section.Find("place").Value != "q" {
			t.Fatalf("the section is not the one asked for:\n%s", edited)
		}
		others := func(d *inifile.Document) map[string]map[string]string {
			all := map[string]map[string]string{}
			for i := range d.Sections {
				s := &d.Sections[i]
				if s.Kind == "drain" && s.Name == "d" {
					continue
				}
				all[s.Title()] = map[string]string{}
				for _, key := range s.Keys {
					all[s.Title()][key.Name] = key.Value
				}
			}
			return all
		}
		if diff := cmp.Diff(others(before), others(after)); diff != "" {
			t.Fatalf("%s\n%s", diff, edited)
		}
	})
}
