package lease

import (
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/api/option"
	"github.com/yuccaroute/yuccaroute/store"
)

// Defaults of Options.
const (
	DefaultTTL = 10 * time.Second
	// marginShare is the part of the TTL that is given up to differences in
	// clock rate between the holder and the service: 1/10, far above the
	// few hundred parts per million of a working clock.
	marginShare = 10
	// keepAliveShare of the TTL passes between two keep-alives, so that two
	// may fail before the lease is lost.
	keepAliveShare = 3
)

// Options describes an Election.
type Options struct {
	// KV is the service.
	KV store.KV
	// Key is the key campaigned for. No other code may write it.
	Key string
	// Value is published with the key, for example the holder's address.
	Value []byte
	// TTL is the time to live of the lease at the service.
	TTL time.Duration
	// Margin is subtracted from TTL when the holder judges its own lease.
	// 0 means a tenth of TTL.
	Margin time.Duration
	// Clock is the holder's clock; nil means the machine's clocks.
	Clock Clock
	// OnWon and OnLost are called from Run, one after the other, at the
	// start and the end of each term. They must return soon: keep-alives
	// wait for them.
	OnWon  func(epoch uint64)
	OnLost func(epoch uint64)
}

func (o Options) withDefaults() Options {
	option.Default(&o.TTL, DefaultTTL)
	option.Default(&o.Margin, o.TTL/marginShare)
	if o.Clock == nil {
		o.Clock = systemClock{}
	}
	if o.OnWon == nil {
		o.OnWon = func(uint64) {}
	}
	if o.OnLost == nil {
		o.OnLost = func(uint64) {}
	}
	return o
}

func (o Options) check() error {
	switch {
	case o.KV == nil:
		return errors.New("lease: no service given")
	case o.Key == "":
		return errors.New("lease: no key given")
	case o.Margin >= o.TTL:
		return errors.Errorf("lease: margin %s is not below the time to live %s", o.Margin, o.TTL)
	}
	return nil
}
