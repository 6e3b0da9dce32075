package render

import (
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/yuccaroute/yuccaroute/admin/wire"
)

// Change writes what a change did.
func (p *Printer) Change(a *wire.ChangeAnswer) error {
	return p.print(a, func() { p.linef("%s", changed(a)) })
}

func changed(a *wire.ChangeAnswer) string {
	c := &a.Change
	verb := "is in force"
	if c.Deleted {
		verb = "is deleted"
	}
	repeated := ""
	if a.Repeated {
		repeated = ", made by an earlier try"
	}
	return c.Kind + " " + c.Name + " " + verb + " at sequence " + number(c.Sequence) + " (change " + c.ID + repeated + ")"
}

// History writes changes, newest first.
func (p *Printer) History(h *wire.History) error {
	return p.print(h, func() { p.changes(h.Changes) })
}

func (p *Printer) changes(changes []wire.Change) {
	t := p.table("sequence", "when", "who", "what", "note", "change")
	for i := range changes {
		c := &changes[i]
		what := "changed"
		if c.Deleted {
			what = "deleted"
		}
		t.AppendRow(table.Row{c.Sequence, moment(c.At), c.Who, what, c.Note, c.ID})
	}
	t.Render()
}

// Outcome writes whether a change took effect.
func (p *Printer) Outcome(o *wire.Outcome) error {
	return p.print(o, func() {
		if o.Change == nil {
			p.linef("change %s: %s; it may still take effect while its sender tries", o.ID, o.State)
			return
		}
		p.linef("change %s: %s at sequence %d, by %s at %s", o.ID, o.State, o.Change.Sequence, o.Change.Who, moment(o.Change.At))
	})
}

// Conflict writes what was changed since the operator read the object.
func (p *Printer) Conflict(c *wire.Conflict) {
	switch {
	case c.Current == 0:
		p.linef("wanted sequence %d, but it does not exist now", c.Wanted)
	case c.Wanted == 0:
		p.linef("wanted to create it, but it exists at sequence %d", c.Current)
	default:
		p.linef("made from sequence %d, but it is at sequence %d", c.Wanted, c.Current)
	}
	if len(c.Changes) > 0 {
		p.linef("changed since by:")
		p.changes(c.Changes)
	}
}

// Preview writes what a change would do.
func (p *Printer) Preview(v *wire.Preview) error {
	return p.print(v, func() {
		if len(v.Accounts) == 0 {
			p.linef("No account changes.")
		}
		for i := range v.Accounts {
			p.account(&v.Accounts[i])
		}
		if v.MoreAccounts > 0 {
			p.linef("%d more accounts would change.", v.MoreAccounts)
		}
	})
}

func (p *Printer) account(a *wire.AccountPreview) {
	if len(a.Values) == 0 {
		p.linef("account %s: no value in force changes", a.Account)
		return
	}
	p.linef("account %s, values in force:", a.Account)
	t := p.table("section", "key", "now", "then")
	for _, d := range a.Values {
		t.AppendRow(table.Row{d.Section, d.Key, orNone(d.Before), orNone(d.After)})
	}
	t.Render()
	p.forecast(a)
}

func orNone(value string) string {
	if value == "" {
		return "(none)"
	}
	return value
}

func (p *Printer) forecast(a *wire.AccountPreview) {
	f := a.Forecast
	if f == nil {
		p.linef("no forecast: %s", a.ForecastMissing)
		return
	}
	p.moves(f)
	if f.CapacityHolds {
		p.linef("capacity holds during and after the moves")
		return
	}
	p.linef("CAPACITY DOES NOT HOLD: %s", strings.Join(f.Reasons, "; "))
}

// moves writes which shares change. Without measurements the shares now are
// not known and the node reports them as 0.
func (p *Printer) moves(f *wire.Forecast) {
	measured := f.PictureAgeMS >= 0
	if measured {
		p.linef("forecast from measurements %s old: %.1f %% of the traffic moves within %s",
			milliseconds(f.PictureAgeMS), f.MovedPercent, milliseconds(f.DurationMS))
	} else {
		p.linef("forecast without demand: nothing is measured yet, and the shares now are not known")
	}
	if len(f.Moves) == 0 {
		return
	}
	t := p.table("service", "callers in", "place", "share now %", "share then %")
	for _, m := range f.Moves {
		from := percent(m.FromPercent)
		if !measured {
			from = "?"
		}
		t.AppendRow(table.Row{m.Service, m.Caller, m.Place, from, percent(m.ToPercent)})
	}
	t.Render()
}
