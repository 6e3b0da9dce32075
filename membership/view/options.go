package view

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/option"
)

// Defaults of Options.
const (
	DefaultReturnHold  = 2 * time.Second
	DefaultMaxHold     = time.Minute
	DefaultStableAfter = 10 * time.Minute
	DefaultKeepGone    = time.Hour
	DefaultMaxGone     = 4096
)

// Options sets how the list is smoothed.
type Options struct {
	// ReturnHold is how long a VM that was gone must be listed again before it
	// is shown. It doubles with each return up to MaxHold, and starts over
	// when the VM was listed for StableAfter.
	ReturnHold  time.Duration
	MaxHold     time.Duration
	StableAfter time.Duration
	// KeepGone and MaxGone bound what is remembered of VMs that are gone.
	KeepGone time.Duration
	MaxGone  int
}

func (o Options) withDefaults() Options {
	option.Default(&o.ReturnHold, DefaultReturnHold)
	option.Default(&o.MaxHold, DefaultMaxHold)
	option.Default(&o.StableAfter, DefaultStableAfter)
	option.Default(&o.KeepGone, DefaultKeepGone)
	option.Default(&o.MaxGone, DefaultMaxGone)
	return o
}
