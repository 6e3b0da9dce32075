package render

import (
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/yuccaroute/yuccaroute/admin/wire"
)

// Templates writes a list of templates.
func (p *Printer) Templates(l *wire.TemplateList) error {
	return p.print(l, func() {
		p.source(l.Source)
		t := p.table("template", "sequence", "accounts")
		for _, e := range l.Templates {
			t.AppendRow(table.Row{e.Name, e.Sequence, e.Accounts})
		}
		t.Render()
	})
}

// Accounts writes a list of accounts.
func (p *Printer) Accounts(l *wire.AccountList) error {
	return p.print(l, func() {
		p.source(l.Source)
		t := p.table("account", "template", "sequence")
		for _, e := range l.Accounts {
			t.AppendRow(table.Row{e.Name, e.Template, e.Sequence})
		}
		t.Render()
	})
}

// Live writes the accounts in force on one node.
func (p *Printer) Live(l *wire.LiveList) error {
	return p.print(l, func() {
		t := p.table("account", "sequence", "epoch", "in force since", "node knew all accounts")
		for _, e := range l.Accounts {
			t.AppendRow(table.Row{e.Account.Name, e.Sequence, e.Epoch, moment(e.Since), ago(e.AgeMS)})
		}
		t.Render()
	})
}

func ago(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return milliseconds(ms) + " ago"
}

// Document writes a document with where it stands.
func (p *Printer) Document(d *wire.Document, exported string) error {
	return p.print(d, func() {
		if d.FromMemory {
			p.linef("; The store does not answer; this is what the node read %s ago.", milliseconds(d.AgeMS))
		}
		p.text(exported)
	})
}

func (p *Printer) text(text string) {
	if !strings.HasSuffix(text, "\n") {
		text += "\n"
	}
	p.linef("%s", strings.TrimSuffix(text, "\n"))
}

// Values writes every value in force with its origin.
func (p *Printer) Values(v *wire.Values) error {
	return p.print(v, func() {
		t := p.table("section", "key", "value", "from", "line")
		for _, e := range v.Values {
			t.AppendRow(table.Row{e.Section, e.Key, e.Value, e.Origin, lineOf(e.Line)})
		}
		t.Render()
	})
}

func lineOf(line int) any {
	if line == 0 {
		return ""
	}
	return line
}

// Whoami writes who the token is for.
func (p *Printer) Whoami(w *wire.Whoami) error {
	return p.print(w, func() {
		p.linef("identity:  %s", w.Identity)
		p.linef("role:      %s", w.Role)
		p.linef("accounts:  %s", strings.Join(w.Accounts, ", "))
		p.linef("templates: %s", strings.Join(w.Templates, ", "))
	})
}

// Identities writes the document of identities.
func (p *Printer) Identities(d *wire.IdentitiesDocument, exported string) error {
	return p.print(d, func() { p.text(exported) })
}

// IdentitiesApplied writes at which revision the identities are.
func (p *Printer) IdentitiesApplied(d *wire.IdentitiesDocument) error {
	return p.print(d, func() { p.linef("identities are in force at revision %d", d.Revision) })
}
