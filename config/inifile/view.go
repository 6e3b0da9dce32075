package inifile

import (
	"strconv"
	"time"
)

// Origin tells which document gave a value.
type Origin string

// OriginDefault marks a value that no document gave.
const OriginDefault Origin = "default"

// Layer is one document of a View.
type Layer struct {
	Origin Origin
	Doc    *Document
}

// View reads several documents as one. A later layer overrides an earlier one
// key by key. Call Check first; the typed getters return zero values for text
// that Check has reported.
type View struct {
	Schema Schema
	Layers []Layer
	// index finds the sections of each layer. It is made by the first Lookup, which
	// must not run beside another; a document may have hundreds of sections.
	index []map[sectionKey]*Section
}

type sectionKey struct{ kind, name string }

// Value is a setting and where it came from.
type Value struct {
	Text   string
	Origin Origin
	File   string
	Line   int
}

// Names returns the names of all sections of a kind, in the order of their
// first appearance.
func (v *View) Names(kind string) []string {
	var names []string
	seen := map[string]bool{}
	for _, layer := range v.Layers {
		for i := range layer.Doc.Sections {
			s := &layer.Doc.Sections[i]
			if s.Kind == kind && !seen[s.Name] {
				seen[s.Name] = true
				names = append(names, s.Name)
			}
		}
	}
	return names
}

// Lookup returns the value in force for a key, and false when no layer gives
// it and it has no default.
func (v *View) Lookup(kind, name, key string) (Value, bool) {
	for i := len(v.Layers) - 1; i >= 0; i-- {
		layer := &v.Layers[i]
		section := v.section(i, kind, name)
		if section == nil {
			continue
		}
		if k := section.Find(key); k != nil {
			return Value{k.Value, layer.Origin, layer.Doc.File, k.Line}, true
		}
	}
	spec := v.Schema.Section(kind).Key(key)
	if spec == nil || spec.Default == "" {
		return Value{}, false
	}
	return Value{Text: spec.Default, Origin: OriginDefault}, true
}

// section returns the first section of a kind and name in a layer, or nil.
func (v *View) section(layer int, kind, name string) *Section {
	if v.index == nil {
		v.index = make([]map[sectionKey]*Section, len(v.Layers))
		for i := range v.Layers {
			v.index[i] = v.Layers[i].Doc.sectionsByKey()
		}
	}
	return v.index[layer][sectionKey{kind, name}]
}

// Place returns where a section stands: in the last layer that has it.
func (v *View) Place(kind, name string) (file string, line int) {
	for i := len(v.Layers) - 1; i >= 0; i-- {
		if section := v.section(i, kind, name); section != nil {
			return v.Layers[i].Doc.File, section.Line
		}
	}
	return v.Layers[len(v.Layers)-1].Doc.File, 0
}

// Check reports all problems of all layers and the required keys that none of
// them gives.
func (v *View) Check() Problems {
	var problems Problems
	for _, layer := range v.Layers {
		problems = append(problems, v.Schema.Check(layer.Doc)...)
	}
	return append(problems, v.Missing()...)
}

// Missing reports the required keys that no layer gives.
func (v *View) Missing() Problems {
	var problems Problems
	for i := range v.Schema {
		problems = append(problems, v.missing(&v.Schema[i])...)
	}
	return problems
}

func (v *View) missing(spec *SectionSpec) Problems {
	names := v.Names(spec.Kind)
	if spec.Parts == 0 {
		names = []string{""}
	}
	var problems Problems
	for _, name := range names {
		file, line := v.Place(spec.Kind, name)
		for i := range spec.Keys {
			key := &spec.Keys[i]
			if _, found := v.Lookup(spec.Kind, name, key.Name); found || !key.Required {
				continue
			}
			problems = append(problems, Problem{
				File: file, Section: title(spec.Kind, name), Key: key.Name, Line: line,
				Message: "the key is missing", Permitted: key.Value.Permitted(),
			})
		}
	}
	return problems
}

// Problem returns a problem at the place of a key in force.
func (v *View) Problem(kind, name, key, message string) Problem {
	p := Problem{Section: title(kind, name), Key: key, Message: message}
	p.File, p.Line = v.Place(kind, name)
	if key == "" {
		return p
	}
	value, found := v.Lookup(kind, name, key)
	if found && value.File != "" {
		p.File, p.Line = value.File, value.Line
	}
	p.Value = value.Text
	return p
}

// Text returns a value as written, "" when there is none.
func (v *View) Text(kind, name, key string) string {
	value, _ := v.Lookup(kind, name, key)
	return value.Text
}

// Number returns a value as a number.
func (v *View) Number(kind, name, key string) float64 {
	n, _ := strconv.ParseFloat(v.Text(kind, name, key), 64)
	return n
}

// Whole returns a value as a whole number.
func (v *View) Whole(kind, name, key string) int64 {
	n, _ := strconv.ParseInt(v.Text(kind, name, key), 10, 64)
	return n
}

// Share returns a value in percent as a share from 0 to 1.
func (v *View) Share(kind, name, key string) float64 {
	const percent = 100
	return v.Number(kind, name, key) / percent
}

// Duration returns a value counted in the unit.
func (v *View) Duration(kind, name, key string, unit time.Duration) time.Duration {
	return time.Duration(v.Number(kind, name, key) * float64(unit))
}

// Moment returns a value as a point in time, in UTC.
func (v *View) Moment(kind, name, key string) time.Time {
	t, _ := time.Parse(time.RFC3339, v.Text(kind, name, key))
	return t.UTC()
}

// Yes reports whether a value is "yes".
func (v *View) Yes(kind, name, key string) bool { return v.Text(kind, name, key) == "yes" }
