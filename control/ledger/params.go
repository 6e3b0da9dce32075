package ledger

import (
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/control/internal/fault"
)

// Params are the times of the protocol. All nodes must use the same ones.
type Params struct {
	// SurplusTTL is how long a surplus is in force, counted by the holder
	// from sending its request.
	SurplusTTL time.Duration
	// RemovalTime is how long a node must be unlisted and silent before its
	// floors are given to others.
	RemovalTime time.Duration
	// LoanTTL is how long a loan between nodes is in force; it must be
	// shorter than RemovalTime by more than the margin for clock rates.
	LoanTTL time.Duration
	// ClockMargin is the part by which one side waits longer than the other.
	// Two clocks may differ in rate by at most this much.
	ClockMargin float64
	// ReductionInterval is how often lower amounts alone cause a write. Until then
	// they are only known to the decider in office.
	ReductionInterval time.Duration
	// Faults plants errors for the model check.
	Faults fault.Set
}

// The times in use unless the settings of a node say otherwise.
const (
	DefaultSurplusTTL        = 15 * time.Second
	DefaultRemovalTime       = 30 * time.Second
	DefaultLoanTTL           = 10 * time.Second
	DefaultClockMargin       = 0.05
	DefaultReductionInterval = 10 * time.Second
)

// DefaultParams returns the times in use.
func DefaultParams() Params {
	return Params{
		SurplusTTL:        DefaultSurplusTTL,
		RemovalTime:       DefaultRemovalTime,
		LoanTTL:           DefaultLoanTTL,
		ClockMargin:       DefaultClockMargin,
		ReductionInterval: DefaultReductionInterval,
	}
}

// WithMargin returns how long this side waits until the other side, which counts d
// on its own clock, has certainly counted to the end.
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

// Check returns an error for times that would break the protocol.
func (p Params) Check() error {
	switch {
	case p.SurplusTTL <= 0 || p.RemovalTime <= 0 || p.LoanTTL <= 0:
		return errors.New("ledger: a time is not positive")
	case p.ClockMargin < 0 || p.ClockMargin >= 1:
		return errors.New("ledger: the clock margin is not from 0 to 1")
	case p.WithMargin(p.LoanTTL) >= p.RemovalTime:
		return errors.New("ledger: a loan lasts as long as the removal time")
	}
	return nil
}
