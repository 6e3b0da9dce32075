package config

import (
	"github.com/yuccaroute/yuccaroute/api/content"
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/config/inifile"
)

// Template is a parsed template. It is immutable.
type Template struct {
	Name string
	Text []byte
	doc  *inifile.Document
}

// AccountDocument is a parsed account document, before the merge with its
// template. It is immutable.
type AccountDocument struct {
	Name     string
	Template string
	Text     []byte
	doc      *inifile.Document
	// callerSets and callerRegions stand for caller blocks that are not in doc, in
	// a document that was spread.
	callerSets    []content.Name
	callerRegions []model.RegionName
}

// ParseTemplate reads and checks a template on its own. The error is Problems.
func ParseTemplate(file string, text []byte) (*Template, error) {
	doc, problems := parse(file, text, templateSchema, kindTemplate)
	if problems != nil {
		return nil, problems
	}
	return newTemplate(doc, text), nil
}

func newTemplate(doc *inifile.Document, text []byte) *Template {
	return &Template{
		Name: doc.Find(kindTemplate, "").Find(keyName).Value,
		Text: text,
		doc:  doc,
	}
}

// ParseAccount reads and checks an account document on its own. The error is
// Problems.
func ParseAccount(file string, text []byte) (*AccountDocument, error) {
	doc, problems := parse(file, text, accountSchema, kindAccount)
	if problems != nil {
		return nil, problems
	}
	return newAccountDocument(doc, text), nil
}

func newAccountDocument(doc *inifile.Document, text []byte) *AccountDocument {
	head := doc.Find(kindAccount, "")
	return &AccountDocument{
		Name:     head.Find(keyName).Value,
		Template: head.Find(keyTemplate).Value,
		Text:     text,
		doc:      doc,
	}
}

func parse(file string, text []byte, schema inifile.Schema, head string) (*inifile.Document, Problems) {
	doc, problems := inifile.Parse(file, text)
	if doc == nil {
		return nil, problems
	}
	return checked(doc, problems, schema, head)
}

// checked returns the document unless it has problems of its own or those found
// before.
func checked(doc *inifile.Document, problems Problems, schema inifile.Schema, head string) (*inifile.Document, Problems) {
	problems = append(problems, schema.Check(doc)...)
	problems = append(problems, missingHead(doc, schema.Section(head))...)
	if len(problems) > 0 {
		return nil, problems
	}
	return doc, nil
}

func missingHead(doc *inifile.Document, spec *inifile.SectionSpec) Problems {
	section := doc.Find(spec.Kind, "")
	if section == nil {
		return Problems{{File: doc.File, Section: spec.Kind, Message: "the section is missing"}}
	}
	var problems Problems
	for _, key := range spec.Keys {
		if section.Find(key.Name) == nil {
			problems = append(problems, Problem{
				File: doc.File, Section: spec.Kind, Key: key.Name, Line: section.Line,
				Message: "the key is missing", Permitted: key.Value.Permitted(),
			})
		}
	}
	return problems
}

// Export writes the template in canonical form, without comments.
func (t *Template) Export() []byte { return inifile.Format(t.doc) }

// Export writes the account document in canonical form, without comments.
func (a *AccountDocument) Export() []byte { return inifile.Format(a.doc) }

// IsTemplate tells by its first section whether a text is meant as a template.
func IsTemplate(text []byte) bool {
	doc, _ := inifile.Parse("", text)
	return doc != nil && doc.Find(kindTemplate, "") != nil
}
