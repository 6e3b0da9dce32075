package view

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/api/option"
)

// Defaults of Options.
const (
	DefaultInterval    = 2 * time.Second
	DefaultReturnHold  = 2 * time.Second
	DefaultMaxHold     = time.Minute
	DefaultStableAfter = 10 * time.Minute
	DefaultKeepGone    = time.Hour
	DefaultMaxGone     = 4096
)

// olderLimit is how many readings in a row may show a lower sequence before
// the platform is taken to have started counting anew.
const olderLimit = 5

// jitterShare of the interval is random, so that nodes do not read together.
const jitterShare = 0.2

// Options sets how the list is read and smoothed.
type Options struct {
	// Interval is the time between two readings.
	Interval time.Duration
	// ReturnHold is how long a VM that was gone must be listed again before it
	// is shown. It doubles with each return up to MaxHold, and starts over
	// when the VM was listed for StableAfter.
	ReturnHold  time.Duration
	MaxHold     time.Duration
	StableAfter time.Duration
	// KeepGone and MaxGone bound what is remembered of VMs that are gone.
	KeepGone time.Duration
	MaxGone  int
	// Logger defaults to logrus' standard logger.
	Logger logrus.FieldLogger
}

func (o Options) withDefaults() Options {
	option.Default(&o.Interval, DefaultInterval)
	option.Default(&o.ReturnHold, DefaultReturnHold)
	option.Default(&o.MaxHold, DefaultMaxHold)
	option.Default(&o.StableAfter, DefaultStableAfter)
	option.Default(&o.KeepGone, DefaultKeepGone)
	option.Default(&o.MaxGone, DefaultMaxGone)
	if o.Logger == nil {
		o.Logger = logrus.StandardLogger()
	}
	return o
}
