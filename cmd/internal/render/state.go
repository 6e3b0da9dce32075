package render

import (
	"strconv"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/steering/explain"
)

func number(n uint64) string { return strconv.FormatUint(n, 10) }

func percent(value float64) string { return strconv.FormatFloat(value, 'f', 1, 64) }

// Spreading writes where a state is in force.
func (p *Printer) Spreading(s *wire.Spreading) error {
	return p.print(s, func() {
		t := p.table("VM", "place", "state", "sequence", "told", "error")
		for i := range s.Nodes {
			n := &s.Nodes[i]
			t.AppendRow(table.Row{n.VM, n.Place, n.State, n.Sequence, ago(n.AgeMS), n.Error})
		}
		if len(s.Nodes) > 0 {
			t.Render()
		}
		p.linef("%s", Summary(s))
	})
}

// Summary returns a status in one line.
func Summary(s *wire.Spreading) string {
	text := "account " + s.Account + " at sequence " + number(s.Sequence) + ": in force on " +
		strconv.Itoa(s.InForce) + " nodes, older on " + strconv.Itoa(s.Older) + ", unreachable " + strconv.Itoa(s.Unreachable)
	if s.Everywhere {
		return text + "; everywhere"
	}
	return text + "; NOT everywhere (VM list read " + ago(s.VMListAgeMS) + ")"
}

// Explanation writes why steering decides as it does.
func (p *Printer) Explanation(r *explain.Report) error {
	return p.print(r, func() { p.text(r.String()) })
}

// Drains writes the planned drains of an account.
func (p *Printer) Drains(l *wire.DrainList) error {
	return p.print(l, func() {
		t := p.table("drain", "place", "start", "end (empty)", "until (used again)", "planned by")
		for _, d := range l.Drains {
			t.AppendRow(table.Row{d.Name, d.Place, moment(d.Start), moment(d.End), moment(d.Until), d.Origin})
		}
		t.Render()
	})
}
