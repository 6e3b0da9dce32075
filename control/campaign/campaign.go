package campaign

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/store/lease"
)

// Election is a campaign for one lease. It can be run once.
type Election interface {
	Held() (epoch uint64, ok bool)
	Run(ctx context.Context) error
	Resign(ctx context.Context) error
}

// NewElection returns a constructor of elections with the given options.
func NewElection(options lease.Options) func() (Election, error) {
	return func() (Election, error) {
		e, err := lease.New(options)
		if err != nil {
			return nil, errors.Wrap(err, "campaign: election")
		}
		return e, nil
	}
}

const (
	// immediateRanks is how many candidates campaign at all times: the first one,
	// and a standby that takes over without delay.
	immediateRanks = 2
	// rankDelay is the additional time that each later candidate waits without a
	// decider before it campaigns. The list of candidates may be outdated, and the
	// first ones may all have failed with their failure domain.
	rankDelay = 2 * time.Second
	// maxRanks limits the candidates of an account, so that the whole fleet does not
	// call the store at once when it recovers from an outage.
	maxRanks = 8
)

// Campaign starts and ends the elections of one account on one node. Held returns
// false while no election runs.
type Campaign struct {
	open func() (Election, error)

	mu       sync.Mutex
	election Election
	cancel   context.CancelFunc
	done     chan struct{}
}

// New returns a campaign without a running election.
func New(open func() (Election, error)) *Campaign {
	return &Campaign{open: open}
}

// Held implements the decider's Lease.
func (c *Campaign) Held() (epoch uint64, ok bool) {
	c.mu.Lock()
	e := c.election
	c.mu.Unlock()
	if e == nil {
		return 0, false
	}
	return e.Held()
}

// ShouldCampaign reports whether a node of this rank should campaign after the given
// time without a decider.
func ShouldCampaign(rank int, without time.Duration) bool {
	if rank >= maxRanks {
		return false
	}
	return rank < immediateRanks || without >= time.Duration(rank)*rankDelay
}

// Step starts an election if it is due, and ends one that is neither due nor won.
// The holder of the lease keeps it when its rank falls, because each change of
// decider causes a delay.
func (c *Campaign) Step(ctx context.Context, due bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.election == nil {
		if !due {
			return nil
		}
		return c.start(ctx)
	}
	if _, held := c.election.Held(); !due && !held {
		c.cancel()
		c.election = nil
	}
	return nil
}

func (c *Campaign) start(ctx context.Context) error {
	e, err := c.open()
	if err != nil {
		return err
	}
	ctx, c.cancel = context.WithCancel(ctx)
	c.election = e
	done := make(chan struct{})
	c.done = done
	go func() {
		defer close(done)
		// Run ends with its context; the lease then expires or is released.
		_ = e.Run(ctx)
	}()
	return nil
}

// Resign releases the lease, waiting until ctx is done at the latest. A later Step
// may start a new election.
func (c *Campaign) Resign(ctx context.Context) error {
	c.mu.Lock()
	e, cancel := c.election, c.cancel
	c.election = nil
	c.mu.Unlock()
	if e == nil {
		return nil
	}
	defer cancel()
	return e.Resign(ctx)
}
