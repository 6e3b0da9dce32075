package inifile

import "strings"

// KeySpec describes one key.
type KeySpec struct {
	Name string
	// Value checks the text; it also describes what is permitted.
	Value Kind
	// Default applies when no document gives the key; "" means none.
	Default string
	// Required tells that some document must give the key.
	Required bool
}

// SectionSpec describes sections of one kind.
type SectionSpec struct {
	Kind string
	// Parts is how many names the header carries, separated by "/"; 0 for a
	// section that stands once and has no name.
	Parts int
	Keys  []KeySpec
}

// Schema describes a document.
type Schema []SectionSpec

// Section returns the description of a kind, or nil.
func (s Schema) Section(kind string) *SectionSpec {
	for i := range s {
		if s[i].Kind == kind {
			return &s[i]
		}
	}
	return nil
}

// Key returns the description of a key, or nil.
func (s *SectionSpec) Key(name string) *KeySpec {
	for i := range s.Keys {
		if s.Keys[i].Name == name {
			return &s.Keys[i]
		}
	}
	return nil
}

// Check reports every section, key and value of the document that the schema
// does not permit. Keys that are missing are left to View.Check, as another
// document may give them.
func (s Schema) Check(doc *Document) Problems {
	var problems Problems
	for i := range doc.Sections {
		problems = append(problems, s.checkSection(doc.File, &doc.Sections[i])...)
	}
	return problems
}

func (s Schema) checkSection(file string, section *Section) Problems {
	spec := s.Section(section.Kind)
	if spec == nil {
		return Problems{{
			File: file, Section: section.Title(), Line: section.Line,
			Message: "unknown section", Permitted: s.kinds(),
		}}
	}
	var problems Problems
	if !spec.namesValid(section.Name) {
		problems = append(problems, Problem{
			File: file, Section: section.Title(), Line: section.Line,
			Message: "wrong section name", Permitted: spec.header(),
		})
	}
	for i := range section.Keys {
		problems = append(problems, spec.checkKey(file, section, &section.Keys[i])...)
	}
	return problems
}

func (s *SectionSpec) checkKey(file string, section *Section, key *Key) Problems {
	p := Problem{File: file, Section: section.Title(), Key: key.Name, Line: key.Line, Value: key.Value}
	spec := s.Key(key.Name)
	if spec == nil {
		p.Message = "unknown key"
		p.Permitted = s.keyNames()
		if near := s.otherUnit(key.Name); near != "" {
			p.Message = "wrong unit"
			p.Permitted = near
		}
		return Problems{p}
	}
	if spec.Value.Valid(key.Value) {
		return nil
	}
	p.Message = "wrong value"
	p.Permitted = spec.Value.Permitted()
	return Problems{p}
}

// otherUnit returns the key that has the same stem and another unit, as with
// deadline_seconds in place of deadline_ms.
func (s *SectionSpec) otherUnit(name string) string {
	stem := stemOf(name)
	for i := range s.Keys {
		if stemOf(s.Keys[i].Name) == stem {
			return s.Keys[i].Name
		}
	}
	return ""
}

var units = []string{"_ms", "_seconds", "_minutes", "_s", "_us", "_rps", "_rpm", "_percent", "_ppm", "_share", "_bytes", "_kb", "_mb", "_kib", "_mib"}

func stemOf(name string) string {
	for _, unit := range units {
		if strings.HasSuffix(name, unit) {
			return strings.TrimSuffix(name, unit)
		}
	}
	return name
}

func (s *SectionSpec) namesValid(name string) bool {
	if s.Parts == 0 {
		return name == ""
	}
	parts := strings.Split(name, "/")
	if len(parts) != s.Parts {
		return false
	}
	for _, part := range parts {
		if !NameKind.Valid(part) {
			return false
		}
	}
	return true
}

func (s *SectionSpec) header() string {
	if s.Parts == 0 {
		return "[" + s.Kind + "]"
	}
	names := strings.TrimSuffix(strings.Repeat("NAME/", s.Parts), "/")
	return "[" + s.Kind + " " + names + "], NAME being " + NameKind.Permitted()
}

func (s Schema) kinds() string {
	names := make([]string, len(s))
	for i := range s {
		names[i] = s[i].Kind
	}
	return strings.Join(names, ", ")
}

func (s *SectionSpec) keyNames() string {
	names := make([]string, len(s.Keys))
	for i := range s.Keys {
		names[i] = s.Keys[i].Name
	}
	return strings.Join(names, ", ")
}
