package paced

import (
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/api/option"
)

// Defaults of Options.
const (
	DefaultTimeout        = 3 * time.Second
	DefaultWatchTimeout   = 40 * time.Second
	DefaultCallsPerSecond = 20
	DefaultBurst          = 20
	DefaultBackoffFirst   = 100 * time.Millisecond
	DefaultBackoffMax     = 5 * time.Second
)

// Options tell how fast a client may call the service.
type Options struct {
	// Timeout bounds one call but a watch, WatchTimeout a watch, both with the wait
	// for their turn. The latter must be longer than the waiting time of the service,
	// but not by much: it is also how long a watcher waits on a service that vanished.
	Timeout      time.Duration
	WatchTimeout time.Duration
	// CallsPerSecond and Burst bound all calls of this client. The sum over
	// all clients must stay below the rate of the service.
	CallsPerSecond float64
	Burst          int
	// After a failure no call is sent for a random time of at most
	// BackoffFirst, doubled at each further failure up to BackoffMax.
	BackoffFirst time.Duration
	BackoffMax   time.Duration
}

func (o Options) withDefaults() Options {
	option.Default(&o.Timeout, DefaultTimeout)
	option.Default(&o.WatchTimeout, DefaultWatchTimeout)
	option.Default(&o.CallsPerSecond, DefaultCallsPerSecond)
	option.Default(&o.Burst, DefaultBurst)
	option.Default(&o.BackoffFirst, DefaultBackoffFirst)
	option.Default(&o.BackoffMax, DefaultBackoffMax)
	return o
}

func (o Options) check() error {
	if o.BackoffMax < o.BackoffFirst {
		return errors.Errorf("paced: longest backoff %s is below the first %s", o.BackoffMax, o.BackoffFirst)
	}
	return nil
}
