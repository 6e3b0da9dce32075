package render

import (
	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/cmd/internal/operator"
)

// Applied writes what became of a document.
func (p *Printer) Applied(a *operator.Applied) error {
	return p.print(a, func() {
		if a.Unchanged {
			p.linef("%s: no difference to what is in force", a.Object)
			return
		}
		p.linef("%s", changed(a.Answer))
	})
}

// Merged writes every value in force as one INI document.
func (p *Printer) Merged(v *wire.Values) error {
	return p.print(v, func() { p.text(v.Merged) })
}
