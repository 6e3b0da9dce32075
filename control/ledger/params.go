package ledger

import (
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/control/internal/fault"
)

// Params holds the timing of the grant protocol. All nodes must use the same
// values.
type Params struct {
	// SurplusTTL is how long a surplus is in force. The holder counts it from
	// when it sent the request.
	SurplusTTL time.Duration
	// RemovalTime is how long a node must be unlisted and unreachable before its
	// floors are reassigned.
	RemovalTime time.Duration
	// LoanTTL is how long a loan between nodes is in force. With the clock margin
	// it must be shorter than RemovalTime.
	LoanTTL time.Duration
	// ClockMargin is the largest relative difference between the rates of two
	// clocks; one side waits longer by this fraction.
	ClockMargin float64
	// ReductionInterval is how long lowered amounts may stay unwritten when
	// nothing else requires a write.
	ReductionInterval time.Duration
	// Faults injects protocol errors in the model check.
	Faults fault.Set
}

// Defaults for settings that a node does not override.
const (
	DefaultSurplusTTL        = 15 * time.Second
	DefaultRemovalTime       = 30 * time.Second
	DefaultLoanTTL           = 10 * time.Second
	DefaultClockMargin       = 0.05
	DefaultReductionInterval = 10 * time.Second
)

// DefaultParams returns the default timing.
func DefaultParams() Params {
	return Params{
		SurplusTTL:        DefaultSurplusTTL,
		RemovalTime:       DefaultRemovalTime,
		LoanTTL:           DefaultLoanTTL,
		ClockMargin:       DefaultClockMargin,
		ReductionInterval: DefaultReductionInterval,
	}
}

// WithMargin returns how long to wait until d has certainly passed on another
// node's clock.
func (p Params) WithMargin(d time.Duration) time.Duration {
	if p.Faults.NoClockMargin {
		return d
	}
	return d + time.Duration(float64(d)*p.ClockMargin)
}

func (p Params) surplusTTLWithMargin() time.Duration {
	if p.Faults.SurplusEndsEarly {
		return p.SurplusTTL / 2
	}
	return p.WithMargin(p.SurplusTTL)
}

// Check returns an error for values that would break the protocol.
func (p Params) Check() error {
	switch {
	case p.SurplusTTL <= 0 || p.RemovalTime <= 0 || p.LoanTTL <= 0:
		return errors.New("ledger: surplus TTL, removal time and loan TTL must be positive")
	case p.ClockMargin < 0 || p.ClockMargin >= 1:
		return errors.New("ledger: clock margin must be at least 0 and less than 1")
	case p.WithMargin(p.LoanTTL) >= p.RemovalTime:
		return errors.New("ledger: loan TTL plus clock margin must be less than the removal time")
	}
	return nil
}
