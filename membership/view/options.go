package view

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/option"
)

// Defaults of Options.
const (
	DefaultHoldDown        = 2 * time.Second
	DefaultMaxHoldDown     = time.Minute
	DefaultStableAfter     = 10 * time.Minute
	DefaultAbsentRetention = time.Hour
	DefaultMaxAbsent       = 4096
)

// Options sets how the list is smoothed.
type Options struct {
	// HoldDown is how long a VM that was gone must be listed again before it
	// is shown. It doubles with each return up to MaxHold, and starts over
	// when the VM was listed for StableAfter.
	HoldDown    time.Duration
	MaxHoldDown time.Duration
	StableAfter time.Duration
	// AbsentRetention and MaxAbsent bound what is remembered of VMs that are gone.
	AbsentRetention time.Duration
	MaxAbsent       int
}

func (o Options) withDefaults() Options {
	option.Default(&o.HoldDown, DefaultHoldDown)
	option.Default(&o.MaxHoldDown, DefaultMaxHoldDown)
	option.Default(&o.StableAfter, DefaultStableAfter)
	option.Default(&o.AbsentRetention, DefaultAbsentRetention)
	option.Default(&o.MaxAbsent, DefaultMaxAbsent)
	return o
}
