package feed

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/api/option"
	"github.com/yuccaroute/yuccaroute/membership"
)

// Defaults of Options.
const (
	DefaultInterval       = time.Second
	DefaultStaleAfter     = 8 * time.Second
	DefaultReadsPerSecond = 50
)

const (
	// jitterShare of each wait is random, so that nodes do not read together.
	jitterShare = 0.2
	// otherLimit is how many readings in a row must differ from the list in
	// force before the platform is taken to have started counting anew.
	otherLimit = 5
	// unknownAge is how long before the start of the node a list of unknown age
	// counts as read.
	unknownAge = 24 * time.Hour
	// maxFirstWait bounds the wait between the tries of a node that has no list.
	maxFirstWait = 10 * time.Second
)

// Options sets when the list is read.
type Options struct {
	// Interval is the time between two readings by a watcher.
	Interval time.Duration
	// StaleAfter is for how long nobody may have read the list in force before
	// a node reads it itself.
	StaleAfter time.Duration
	// ReadsPerSecond bounds the readings of all nodes that are not watchers, in
	// sum; each takes an equal share of it.
	ReadsPerSecond float64
	// Seeds returns nodes to learn from while the platform gives no list to a
	// node that has none; nil or none when none are known.
	Seeds func(context.Context) []membership.VM
	// Seed makes the jitter repeatable; nodes must differ.
	Seed uint64
	// Logger defaults to logrus' standard logger.
	Logger logrus.FieldLogger
}

func (o Options) withDefaults() Options {
	option.Default(&o.Interval, DefaultInterval)
	option.Default(&o.StaleAfter, DefaultStaleAfter)
	option.Default(&o.ReadsPerSecond, DefaultReadsPerSecond)
	if o.Logger == nil {
		o.Logger = logrus.StandardLogger()
	}
	return o
}
