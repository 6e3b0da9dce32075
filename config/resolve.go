package config

import (
	"fmt"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/config/inifile"
)

// Origins of values in Provenance.
const (
	FromTemplate inifile.Origin = "template"
	FromAccount  inifile.Origin = "account"
	FromDefault                 = inifile.OriginDefault
)

// Resolved is one account as it results from its template and its own
// document. It is immutable.
type Resolved struct {
	Account *model.Account
	// TemplateText and AccountText are the documents as written.
	TemplateText []byte
	AccountText  []byte
	view         *inifile.View
}

// Resolve merges an account with its template and checks the result. The error
// is Problems and lists all faults; the account is then not usable in part.
func Resolve(template *Template, account *AccountDocument) (*Resolved, error) {
	if account.Template != template.Name {
		return nil, Problems{{
			File: account.doc.File, Section: kindAccount, Key: keyTemplate, Value: account.Template,
			Line:    account.doc.Find(kindAccount, "").Find(keyTemplate).Line,
			Message: fmt.Sprintf("the account was merged with template %q", template.Name),
		}}
	}
	view := mergedView(template, account)
	b := builder{view: view, enabled: enabledSections(view)}
	// Each document passed the schema when it was parsed.
	problems := view.Missing()
	if len(problems) > 0 {
		return nil, problems
	}
	built := b.account(account)
	problems = check(&b, built)
	if len(problems) > 0 {
		return nil, problems
	}
	return &Resolved{
		Account:      built,
		TemplateText: template.Text,
		AccountText:  account.Text,
		view:         view,
	}, nil
}

// ResolveText parses both documents and resolves them. It reports the problems
// of both.
func ResolveText(templateFile string, template []byte, accountFile string, account []byte) (*Resolved, error) {
	t, templateErr := ParseTemplate(templateFile, template)
	a, accountErr := ParseAccount(accountFile, account)
	var problems Problems
	for _, err := range []error{templateErr, accountErr} {
		if found, ok := err.(Problems); ok {
			problems = append(problems, found...)
		}
	}
	if len(problems) > 0 {
		return nil, problems
	}
	return Resolve(t, a)
}

// mergedView leaves out the head sections, which differ between the two kinds
// of documents.
func mergedView(template *Template, account *AccountDocument) *inifile.View {
	return &inifile.View{Schema: mergedSchema, Layers: []inifile.Layer{
		{Origin: FromTemplate, Doc: withoutHead(template.doc)},
		{Origin: FromAccount, Doc: withoutHead(account.doc)},
	}}
}

func withoutHead(doc *inifile.Document) *inifile.Document {
	out := &inifile.Document{File: doc.File}
	for i := range doc.Sections {
		kind := doc.Sections[i].Kind
		if kind != kindTemplate && kind != kindAccount {
			out.Sections = append(out.Sections, doc.Sections[i])
		}
	}
	return out
}

// enabledSections lists, for each kind, the names that "enabled = no" does not
// switch off.
func enabledSections(view *inifile.View) map[string][]string {
	enabled := map[string][]string{}
	for i := range view.Schema {
		kind := view.Schema[i].Kind
		if view.Schema[i].Parts == 0 {
			continue
		}
		for _, name := range view.Names(kind) {
			if view.Yes(kind, name, keyEnabled) {
				enabled[kind] = append(enabled[kind], name)
			}
		}
	}
	return enabled
}
