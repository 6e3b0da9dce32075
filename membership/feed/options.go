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
	// jitterShare is the random share of each wait, so that nodes do not poll
	// in step.
	jitterShare = 0.2
	// mismatchLimit is how many consecutive readings must differ from the
	// current list before the platform's sequence is assumed to be reset.
	mismatchLimit = 5
	// unknownAge is the age at the start of the node that is assumed for a list
	// without a known read time.
	unknownAge = 24 * time.Hour
	// maxBootstrapWait bounds the retry interval of a node without a list.
	maxBootstrapWait = 10 * time.Second
)

// Options configures when the list is read.
type Options struct {
	// Interval is the poll interval of a watcher.
	Interval time.Duration
	// StaleAfter is how long after the last read of the current list by another
	// node a node polls the platform itself.
	StaleAfter time.Duration
	// ReadsPerSecond bounds the total rate of reads by nodes that are not
	// watchers; each node uses an equal share.
	ReadsPerSecond float64
	// Seeds returns nodes to get the list from when this node has none and the
	// platform is unavailable. It may be nil.
	Seeds func(context.Context) []membership.VM
	// Seed is the random seed of the jitter; it must differ between nodes.
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
