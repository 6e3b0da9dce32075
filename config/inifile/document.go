package inifile

import (
	"strings"

	ini "gopkg.in/ini.v1"
)

// Document is one INI text in the order it was written.
type Document struct {
	// File names the document in problems.
	File     string
	Sections []Section
}

// Section is one section. The header "[capacity desk/seoul]" has the kind
// "capacity" and the name "desk/seoul".
type Section struct {
	Kind string
	Name string
	Line int
	Keys []Key
}

// Key is one setting as written.
type Key struct {
	Name  string
	Value string
	Line  int
}

// Title returns the section's header without brackets.
func (s *Section) Title() string { return title(s.Kind, s.Name) }

func title(kind, name string) string {
	if name == "" {
		return kind
	}
	return kind + " " + name
}

// Find returns the first section of a kind and name, or nil.
func (d *Document) Find(kind, name string) *Section {
	for i := range d.Sections {
		s := &d.Sections[i]
		if s.Kind == kind && s.Name == name {
			return s
		}
	}
	return nil
}

// sectionsByKey indexes the first section of each kind and name.
func (d *Document) sectionsByKey() map[sectionKey]*Section {
	index := make(map[sectionKey]*Section, len(d.Sections))
	for i := range d.Sections {
		s := &d.Sections[i]
		key := sectionKey{s.Kind, s.Name}
		if index[key] == nil {
			index[key] = s
		}
	}
	return index
}

// Find returns the first key of a name, or nil.
func (s *Section) Find(key string) *Key {
	for i := range s.Keys {
		if s.Keys[i].Name == key {
			return &s.Keys[i]
		}
	}
	return nil
}

// childDelimiter keeps the library from reading a dot in a section's name as
// inheritance from another section.
const childDelimiter = "\x00"

var loadOptions = ini.LoadOptions{
	IgnoreContinuation:         true,
	SpaceBeforeInlineComment:   true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	AllowNonUniqueSections:     true,
	KeyValueDelimiters:         "=",
	ChildSectionDelimiter:      childDelimiter,
}

// MaxDocumentBytes is the largest text that Parse takes.
const MaxDocumentBytes = 512 << 10

// Parse reads a document. Duplicate sections and keys are problems: with two
// values for one setting nobody can tell which one is in force.
func Parse(file string, text []byte) (*Document, Problems) {
	if len(text) > MaxDocumentBytes {
		return nil, Problems{{File: file, Message: "the document is too large", Permitted: "at most 524288 bytes"}}
	}
	loaded, err := ini.LoadSources(loadOptions, text)
	if err != nil {
		return nil, Problems{syntaxProblem(file, text, err)}
	}
	r := reader{doc: &Document{File: file}, lines: indexLines(text)}
	for _, section := range loaded.Sections() {
		r.section(section)
	}
	return r.doc, r.problems
}

func syntaxProblem(file string, text []byte, err error) Problem {
	p := Problem{File: file, Message: "the text is not INI: " + strings.TrimSpace(err.Error())}
	_, rest, found := strings.Cut(err.Error(), ": ")
	if found {
		p.Line = lineOf(text, strings.TrimSpace(rest))
	}
	return p
}

type reader struct {
	doc      *Document
	lines    lineIndex
	problems Problems
}

func (r *reader) section(in *ini.Section) {
	if in.Name() == ini.DefaultSection {
		r.outside(in)
		return
	}
	header := normalTitle(in.Name())
	kind, name, _ := strings.Cut(header, " ")
	lines := r.lines.next(header)
	if r.doc.Find(kind, name) != nil {
		r.problems = append(r.problems, Problem{
			File: r.doc.File, Section: header, Line: lines.line,
			Message: "the section stands twice",
		})
		return
	}
	out := Section{Kind: kind, Name: name, Line: lines.line}
	for _, key := range in.Keys() {
		r.key(&out, key, lines)
	}
	r.doc.Sections = append(r.doc.Sections, out)
}

// outside reports keys before the first section.
func (r *reader) outside(in *ini.Section) {
	lines := r.lines.outside()
	for _, key := range in.Keys() {
		r.problems = append(r.problems, Problem{
			File: r.doc.File, Key: key.Name(), Line: lines.keys[key.Name()],
			Message: "the key stands before the first section",
		})
	}
}

func (r *reader) key(out *Section, in *ini.Key, lines sectionLines) {
	values := in.ValueWithShadows()
	value := in.Value()
	line := lines.keys[in.Name()]
	if len(values) > 1 {
		r.problems = append(r.problems, Problem{
			File: r.doc.File, Section: out.Title(), Key: in.Name(), Line: line,
			Value: strings.Join(values, ", "), Message: "the key stands twice",
		})
	}
	out.Keys = append(out.Keys, Key{Name: in.Name(), Value: value, Line: line})
}
