package target

import (
	"io"
	"time"

	"github.com/yuccaroute/yuccaroute/api/option"
)

// Defaults of Options.
const (
	DefaultSlots       = 3
	DefaultServiceTime = 5 * time.Millisecond
	DefaultBodyBytes   = 8 << 20
)

// Options configure a Target.
type Options struct {
	// Name is the VM's identifier in the list.
	Name string
	// Slots is how many requests run at once, Queue how many more wait; others
	// are shed.
	Slots int
	Queue int
	// ServiceTime is how long a request runs. Spread varies it by up to that
	// part, 0 to 1, in a sequence fixed by Seed.
	ServiceTime time.Duration
	Spread      float64
	Seed        uint64
	// ColdRequests is how many requests run slowly at first, ColdFactor by how
	// much the first of them does.
	ColdRequests int
	ColdFactor   float64
	// ConnectionCost is the time the first request of a connection takes more,
	// ProbeCost the time /health and /load take a slot for.
	ConnectionCost time.Duration
	ProbeCost      time.Duration
	// LoadLag is how old a load report may be.
	LoadLag time.Duration
	// MaxBodyBytes bounds request bodies.
	MaxBodyBytes int
	// Journal, unless nil, gets each run as a line of JSON before it begins, so
	// that the ledger of a target that is killed is not lost. A token that runs
	// twice has two lines.
	Journal io.Writer
}

func (o *Options) setDefaults() {
	option.Default(&o.Slots, DefaultSlots)
	option.Default(&o.ServiceTime, DefaultServiceTime)
	option.Default(&o.MaxBodyBytes, DefaultBodyBytes)
}
