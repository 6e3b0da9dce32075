package httpkv

import (
	"crypto/tls"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/api/option"
	"github.com/yuccaroute/yuccaroute/store/wire"
)

// Defaults of Options.
const (
	DefaultTimeout        = 3 * time.Second
	DefaultWatchTimeout   = 40 * time.Second
	DefaultCallsPerSecond = 20
	DefaultBurst          = 20
	DefaultBackoffFirst   = 100 * time.Millisecond
	DefaultBackoffMax     = 5 * time.Second
	// idleConnTimeout is below the usual keep-alive time of a server, so that
	// a call seldom meets a connection that the server is closing: for a
	// write that is an unknown outcome.
	idleConnTimeout = 15 * time.Second
	// maxAnswerBytes bounds an answer: a list of many values.
	maxAnswerBytes = 256 << 20
)

// Options describes the service and how fast this client may call it.
type Options struct {
	// Address is host:port of the service.
	Address string
	// PathPrefix comes before each path; empty means wire.DefaultPathPrefix.
	PathPrefix string
	// TLS is nil for plain HTTP.
	TLS *tls.Config
	// Timeout bounds one call but a watch, WatchTimeout a watch. The latter
	// must be longer than the waiting time of the service, but not by much: it
	// is also how long a watcher waits on a service that vanished.
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
	if o.PathPrefix == "" {
		o.PathPrefix = wire.DefaultPathPrefix
	}
	option.Default(&o.Timeout, DefaultTimeout)
	option.Default(&o.WatchTimeout, DefaultWatchTimeout)
	option.Default(&o.CallsPerSecond, DefaultCallsPerSecond)
	option.Default(&o.Burst, DefaultBurst)
	option.Default(&o.BackoffFirst, DefaultBackoffFirst)
	option.Default(&o.BackoffMax, DefaultBackoffMax)
	return o
}

func (o Options) check() error {
	if o.Address == "" {
		return errors.New("httpkv: no address given")
	}
	if o.BackoffMax < o.BackoffFirst {
		return errors.Errorf("httpkv: longest backoff %s is below the first %s", o.BackoffMax, o.BackoffFirst)
	}
	return nil
}
