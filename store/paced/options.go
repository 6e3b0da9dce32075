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

// Options configures a KV.
type Options struct {
	// Timeout bounds a call other than a watch, WatchTimeout a watch; both include
	// the wait for a permit. WatchTimeout must be a little longer than the service's
	// own watch timeout: it is also how long a watcher waits for a dead service.
	Timeout      time.Duration
	WatchTimeout time.Duration
	// CallsPerSecond and Burst limit all calls of this client. The sum over all
	// clients must stay below the rate limit of the service.
	CallsPerSecond float64
	Burst          int
	// BackoffFirst and BackoffMax bound the random backoff after a failure: at
	// most BackoffFirst at first, doubled at each further failure up to BackoffMax.
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
		return errors.Errorf("paced: BackoffMax %s is less than BackoffFirst %s", o.BackoffMax, o.BackoffFirst)
	}
	return nil
}
