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

// Options configures flap damping and the retention of absent VMs.
type Options struct {
	// HoldDown is how long a returning VM must be listed before it is shown. It
	// doubles with each return up to MaxHoldDown, and is reset when the VM was
	// listed for StableAfter.
	HoldDown    time.Duration
	MaxHoldDown time.Duration
	StableAfter time.Duration
	// AbsentRetention and MaxAbsent bound the records of absent VMs.
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
