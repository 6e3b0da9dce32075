package config

import (
	"time"

	"github.com/yuccaroute/yuccaroute/config/inifile"
)

// PlannedDrain is a planned stop of a place under the name it has in the
// account's document.
type PlannedDrain struct {
	Name  string
	Place string
	Start time.Time
	End   time.Time
	Until time.Time
	// Origin tells whether the template or the account plans it.
	Origin inifile.Origin
}

// PlannedDrains lists the enabled drains.
func (r *Resolved) PlannedDrains() []PlannedDrain {
	var drains []PlannedDrain
	for _, name := range enabledSections(r.view)[kindDrain] {
		place, _ := r.view.Lookup(kindDrain, name, keyPlace)
		drains = append(drains, PlannedDrain{
			Name:   name,
			Place:  place.Text,
			Start:  r.view.Moment(kindDrain, name, keyStart),
			End:    r.view.Moment(kindDrain, name, keyEnd),
			Until:  r.view.Moment(kindDrain, name, keyUntil),
			Origin: place.Origin,
		})
	}
	return drains
}

// WithDrain returns the account's text with the drain planned. The result is
// checked when it is applied.
func (r *Resolved) WithDrain(d PlannedDrain) []byte {
	return inifile.WithSection(r.AccountText, kindDrain+" "+d.Name, []inifile.Key{
		{Name: keyPlace, Value: d.Place},
		{Name: keyStart, Value: moment(d.Start)},
		{Name: keyEnd, Value: moment(d.End)},
		{Name: keyUntil, Value: moment(d.Until)},
	})
}

// WithoutDrain returns the account's text with the drain cancelled. One that
// the template plans is switched off for this account.
func (r *Resolved) WithoutDrain(name string) []byte {
	title := kindDrain + " " + name
	if r.view.Layers[0].Doc.Find(kindDrain, name) == nil {
		return inifile.WithSection(r.AccountText, title, nil)
	}
	return inifile.WithSection(r.AccountText, title, []inifile.Key{{Name: keyEnabled, Value: "no"}})
}

func moment(t time.Time) string { return t.UTC().Format(time.RFC3339) }
