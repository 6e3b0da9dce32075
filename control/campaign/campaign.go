package campaign

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/store/lease"
)

// Election is a campaign for one lease. It runs once.
type Election interface {
	Held() (epoch uint64, ok bool)
	Run(ctx context.Context) error
	Resign(ctx context.Context) error
}

// NewElection makes the election of a key over the store.
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
	// firstRanks is how many of the first candidates campaign at all times:
	// the first, and one that takes over without a delay when it ends.
	firstRanks = 2
	// rankDelay is how much longer each later candidate waits without a
	// decider before it campaigns too. The list that ranks them lags, so the
	// first ones may all have ended with their failure domain.
	rankDelay = 2 * time.Second
	// mostRanks bounds the candidates of an account at all times. In an outage
	// of the store no decider answers anybody; without a bound the whole fleet
	// would campaign, and call the store at once when it is back.
	mostRanks = 8
)

// Campaign starts and ends the election of one account on one node. It is
// itself a lease: Held is false while no election runs.
type Campaign struct {
	open func() (Election, error)

	mu       sync.Mutex
	election Election
	cancel   context.CancelFunc
	done     chan struct{}
}

// New returns a campaign that does not run.
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

// ShouldCampaign reports whether a node of this rank should campaign after being without
// a decider for a time.
func ShouldCampaign(rank int, without time.Duration) bool {
	if rank >= mostRanks {
		return false
	}
	return rank < firstRanks || without >= time.Duration(rank)*rankDelay
}

// Step starts the election when it is due and ends one that is neither due nor
// won. A decider in office keeps its lease when its rank falls: each change of
// decider costs a wait.
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
		// Run ends with its context; the lease then lapses or is given back.
		_ = e.Run(ctx)
	}()
	return nil
}

// Resign gives the lease up and waits for it as long as ctx lasts. The next
// Step starts a new election.
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
