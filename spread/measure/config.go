package measure

import (
	"cmp"
	"time"

	"github.com/pkg/errors"
)

// Config tells what to measure on one fleet. The zero value of a field takes
// its default.
type Config struct {
	Nodes int
	// Regions and PlacesPerRegion shape the fleet; VMs are dealt out in turn.
	Regions         int
	PlacesPerRegion int
	// Items is how many items there are before anything is measured.
	Items int
	// BodyBytes is the size of an item's body.
	BodyBytes int
	// Changes is how many changes each phase makes.
	Changes int
	// IdleTime and BusyTime are the lengths of the phases that count bytes.
	IdleTime time.Duration
	BusyTime time.Duration
	// BusyRate is the changes a second of the busy phase.
	BusyRate float64
	// Settle is the time in which every node finds its upstream.
	Settle time.Duration
	Seed   uint64
}

// Defaults.
const (
	defaultRegions   = 3
	defaultPlaces    = 2
	defaultItems     = 1000
	defaultBodyBytes = 2000
	defaultChanges   = 200
	defaultIdleTime  = 30 * time.Second
	defaultBusyTime  = 20 * time.Second
	defaultBusyRate  = 10
	defaultSettle    = 10 * time.Second

	minNodes = 4
	// maxNodes keeps a run within the sockets and memory of one machine.
	maxNodes = 600
)

func (c Config) withDefaults() (Config, error) {
	if c.Nodes < minNodes || c.Nodes > maxNodes {
		return c, errors.Errorf("measure: %d nodes, want %d to %d", c.Nodes, minNodes, maxNodes)
	}
	c.Regions = cmp.Or(c.Regions, defaultRegions)
	c.PlacesPerRegion = cmp.Or(c.PlacesPerRegion, defaultPlaces)
	c.Items = cmp.Or(c.Items, defaultItems)
	c.BodyBytes = cmp.Or(c.BodyBytes, defaultBodyBytes)
	c.Changes = cmp.Or(c.Changes, defaultChanges)
	c.IdleTime = cmp.Or(c.IdleTime, defaultIdleTime)
	c.BusyTime = cmp.Or(c.BusyTime, defaultBusyTime)
	c.BusyRate = cmp.Or(c.BusyRate, defaultBusyRate)
	c.Settle = cmp.Or(c.Settle, defaultSettle)
	return c, nil
}
