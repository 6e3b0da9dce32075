// Package holder is a node's side of the grants of one client account: it
// reports to the decider, applies the sets it is given, keeps its floors
// through outages, and lends to and borrows from other nodes when no decider
// is reachable. Core is the pure part, driven by events with the time passed
// in; Runner does the I/O.
package holder

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/control/ledger"
)

// Options configures a Core.
type Options struct {
	Node    grant.NodeID
	Region  model.RegionName
	Account model.AccountName
	// Params are the times of the protocol, the same on all nodes.
	Params ledger.Params
	// RequestTimeout bounds a request to a decider or lender; a later answer
	// is not taken. It must be shorter than the removal time.
	RequestTimeout time.Duration
	// LendShare is the part of its free floor a node lends at most at once.
	LendShare float64
}

// Defaults of Options.
const (
	DefaultRequestTimeout = 3 * time.Second
	DefaultLendShare      = 0.3
)

// Core holds the grants of one account on one node. It is not safe for use by
// several goroutines; the sets it returns are immutable.
type Core struct {
	options Options
	alive   *grant.Liveness
	// epoch and sequence name the set applied last, 0 after a pause.
	epoch, sequence uint64
	// latestEpoch and latestSequence are those of the newest set ever applied:
	// the admission refuses a set that looks older than its own, also the
	// empty one after a pause.
	latestEpoch, latestSequence uint64
	// seen is the highest epoch heard of.
	seen uint64
	// acknowledged is the last set of which nothing older is in force, loans
	// counted; it lags behind while a lower floor does not cover the loans.
	acknowledgedEpoch, acknowledgedSequence uint64
	grants                                  []grant.Grant
	// keys are those of the last grants with names, in their order, and keysHash
	// their hash. unnamed tells that an answer relied on others.
	keys           []grant.Key
	keysHash       uint64
	unnamed        bool
	surplusExpires time.Time
	// ticked is when the process last ran; voided is when it last dropped
	// everything after a pause, and answers to earlier requests are void.
	ticked, voided time.Time
	lent           []loan
	borrowed       []loan
	stopping       bool
	set            *grant.Set
}

// New returns a holder without grants.
func New(options Options) *Core {
	c := &Core{
		options: options,
		alive:   grant.NewLiveness(options.Params.RemovalTime),
	}
	c.rebuild()
	return c
}

// Set returns what is in force. It is never nil.
func (c *Core) Set() *grant.Set { return c.set }

// Tick notes that the process runs at now and ends what has run out. It must
// be called at least once a second. changed tells that Set returns another set.
func (c *Core) Tick(now time.Time) (changed bool) {
	if c.paused(now) {
		c.void(now)
		changed = true
	}
	if c.expireLoans(now) {
		changed = true
	}
	if changed {
		c.rebuild()
	}
	c.ticked = now
	c.alive.Touch(now)
	return changed
}

// paused reports whether the process was not scheduled for so long that its
// floors may have been given to others. The wall clock is asked too, because
// the monotonic clock of a suspended VM may stand still.
func (c *Core) paused(now time.Time) bool {
	if c.ticked.IsZero() || c.options.Params.Faults.KeepFloorsAfterPause {
		return false
	}
	limit := c.options.Params.RemovalTime
	return now.Sub(c.ticked) >= limit || now.Round(0).Sub(c.ticked.Round(0)) >= limit
}

// void drops everything. The node then acknowledges nothing, so that the
// decider sends a whole set.
func (c *Core) void(now time.Time) {
	c.epoch, c.sequence = 0, 0
	c.acknowledgedEpoch, c.acknowledgedSequence = 0, 0
	c.grants = nil
	c.lent = nil
	c.borrowed = nil
	c.surplusExpires = time.Time{}
	c.voided = now
}

// Stop closes the admission for good. changed is always true the first time.
func (c *Core) Stop() (changed bool) {
	if c.stopping {
		return false
	}
	c.stopping = true
	c.grants = nil
	c.borrowed = nil
	c.rebuild()
	return true
}

// Stopped reports whether the node has stopped and has no loan out, so that
// the decider may give all it had to others.
func (c *Core) Stopped(now time.Time) bool {
	c.expireLoans(now)
	return c.stopping && len(c.lent) == 0
}

// HasFloor reports whether the node has any floor.
func (c *Core) HasFloor() bool {
	for i := range c.grants {
		if c.grants[i].Floor > 0 {
			return true
		}
	}
	return false
}

// rebuild makes the set in force: floors less what is lent, the surplus, and
// what is borrowed. A node borrows only without floor or surplus, so the
// expiry of the set is that of one or the other.
func (c *Core) rebuild() {
	set := &grant.Set{
		Account:        c.options.Account,
		Epoch:          c.latestEpoch,
		Sequence:       c.latestSequence,
		SurplusExpires: c.surplusExpires,
	}
	if !c.options.Params.Faults.KeepFloorsAfterPause {
		set.Alive = c.alive
	}
	for _, g := range c.grants {
		lent := c.lentOf(g.Key)
		g.Floor -= min(lent, g.Floor)
		set.Grants = append(set.Grants, g)
	}
	if len(c.borrowed) > 0 {
		set.Grants, set.SurplusExpires = c.borrowedGrants()
	}
	c.set = set
}
