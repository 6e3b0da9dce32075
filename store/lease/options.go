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
	// marginDivisor is the TTL over the default margin, which allows for the
	// difference in clock rate between the holder and the service.
	marginDivisor = 10
	// keepAliveDivisor is the TTL over the keep-alive interval, so that two
	// keep-alives may fail before the lease is lost.
	keepAliveDivisor = 3
)

// Options configures an Election.
type Options struct {
	// KV is the key-value service.
	KV store.KV
	// Key is the key to campaign for. No other code may write it.
	Key string
	// Value is stored with the key, for example the holder's address.
	Value []byte
	// TTL is the time to live of the lease at the service.
	TTL time.Duration
	// Margin is subtracted from TTL for the time during which the holder relies
	// on its lease. 0 means a tenth of TTL.
	Margin time.Duration
	// Clock is the holder's clock; nil means the system clock.
	Clock Clock
	// OnWon and OnLost are called from Run, one after the other, at the
	// start and the end of each term. They must not block, as they delay
	// keep-alives.
	OnWon  func(epoch uint64)
	OnLost func(epoch uint64)
}

func (o Options) withDefaults() Options {
	option.Default(&o.TTL, DefaultTTL)
	option.Default(&o.Margin, o.TTL/marginDivisor)
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
		return errors.New("lease: Options.KV is not set")
	case o.Key == "":
		return errors.New("lease: Options.Key is not set")
	case o.Margin >= o.TTL:
		return errors.Errorf("lease: margin %s is not less than TTL %s", o.Margin, o.TTL)
	}
	return nil
}
