package config

import (
	"bytes"
	"fmt"

	"github.com/yuccaroute/yuccaroute/config/inifile"
)

// Provenance tells where one value in force came from.
type Provenance struct {
	Section string         `json:"section"`
	Key     string         `json:"key"`
	Value   string         `json:"value"`
	Origin  inifile.Origin `json:"origin"`
	// Line is the line in the document that gave the value; 0 for a default.
	Line int `json:"line,omitempty"`
}

// Values lists every value in force with its origin.
func (r *Resolved) Values() []Provenance {
	var values []Provenance
	for i := range r.view.Schema {
		spec := &r.view.Schema[i]
		names := r.view.Names(spec.Kind)
		if spec.Parts == 0 {
			names = []string{""}
		}
		for _, name := range names {
			values = append(values, r.sectionValues(spec, name)...)
		}
	}
	return values
}

func (r *Resolved) sectionValues(spec *inifile.SectionSpec, name string) []Provenance {
	section := inifile.Section{Kind: spec.Kind, Name: name}
	var values []Provenance
	for i := range spec.Keys {
		key := spec.Keys[i].Name
		value, found := r.view.Lookup(spec.Kind, name, key)
		if !found {
			continue
		}
		values = append(values, Provenance{
			Section: section.Title(),
			Key:     key,
			Value:   value.Text,
			Origin:  value.Origin,
			Line:    value.Line,
		})
	}
	return values
}

// ExportMerged writes every value in force as one INI text, each with its
// origin as a comment.
func (r *Resolved) ExportMerged() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "[%s]\n%s = %s\n%s = %s\n", kindAccount, keyName, r.Account.Name, keyTemplate, r.Account.Template)
	last := ""
	for _, v := range r.Values() {
		if v.Section != last {
			fmt.Fprintf(&b, "\n[%s]\n", v.Section)
			last = v.Section
		}
		fmt.Fprintf(&b, "%s = %s ; %s\n", v.Key, v.Value, v.Origin)
	}
	return b.Bytes()
}
