// Package holder implements the node's side of the grants of one client account. It
// reports to the decider, applies the grant sets it receives, keeps its floors
// during outages, and lends to and borrows from other nodes when no decider is
// reachable. Core is a state machine without I/O that is given the time; Runner does
// the I/O.
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
	// Params are the protocol timings; they must be the same on all nodes.
	Params ledger.Params
	// RequestTimeout bounds a request to a decider or lender; later responses are
	// discarded. It must be shorter than the removal time.
	RequestTimeout time.Duration
	// LendShare is the largest fraction of its free floor that a node lends in one
	// loan.
	LendShare float64
}

// Default values for Options.
const (
	DefaultRequestTimeout = 3 * time.Second
	DefaultLendShare      = 0.3
)

// Core holds the grants of one account on one node. It is not safe for concurrent
// use; the sets it returns are immutable.
type Core struct {
	options Options
	alive   *grant.Liveness
	// epoch and sequence identify the last applied set, 0 after a pause.
	epoch, sequence uint64
	// latestEpoch and latestSequence identify the newest set ever applied. They
	// survive a pause, because the admission rejects a set that is older than its
	// current one.
	latestEpoch, latestSequence uint64
	// highestEpoch is the highest decider epoch known.
	highestEpoch uint64
	// acknowledgedEpoch and acknowledgedSequence identify the last set that accounts
	// for everything in force, including loans. They lag behind while lowered floors
	// do not cover the loans.
	acknowledgedEpoch, acknowledgedSequence uint64
	grants                                  []grant.Grant
	// keys are the grant keys last received by name, in order, and keysHash is their
	// hash. needGrantNames is set after a response relied on other names.
	keys           []grant.Key
	keysHash       uint64
	needGrantNames bool
	surplusExpires time.Time
	// lastTick is when Tick last ran. voidedAt is when the state was last discarded
	// after a pause; responses to earlier requests are ignored.
	lastTick, voidedAt time.Time
	lent               []loan
	borrowed           []loan
	stopping           bool
	set                *grant.Set
}

// New returns a Core without grants.
func New(options Options) *Core {
	c := &Core{
		options: options,
		alive:   grant.NewLiveness(options.Params.RemovalTime),
	}
	c.rebuild()
	return c
}

// Set returns the grant set in force. It is never nil.
func (c *Core) Set() *grant.Set { return c.set }

// Tick records that the process is running at now and expires loans. It must be
// called at least once a second. changed reports whether Set returns a new set.
func (c *Core) Tick(now time.Time) (changed bool) {
	if c.paused(now) {
		c.discardState(now)
		changed = true
	}
	if c.expireLoans(now) {
		changed = true
	}
	if changed {
		c.rebuild()
	}
	c.lastTick = now
	c.alive.Touch(now)
	return changed
}

// paused reports whether the process was not scheduled for so long that its floors
// may have been given to others. It also checks the wall clock, because the
// monotonic clock may stop while a VM is suspended.
func (c *Core) paused(now time.Time) bool {
	if c.lastTick.IsZero() || c.options.Params.Faults.KeepFloorsAfterPause {
		return false
	}
	limit := c.options.Params.RemovalTime
	return now.Sub(c.lastTick) >= limit || now.Round(0).Sub(c.lastTick.Round(0)) >= limit
}

// discardState drops all grants and loans. The node then acknowledges no set, so the
// decider sends a complete one.
func (c *Core) discardState(now time.Time) {
	c.epoch, c.sequence = 0, 0
	c.acknowledgedEpoch, c.acknowledgedSequence = 0, 0
	c.grants = nil
	c.lent = nil
	c.borrowed = nil
	c.surplusExpires = time.Time{}
	c.voidedAt = now
}

// Stop closes the admission permanently. changed is true on the first call.
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

// Stopped reports whether the node has stopped and none of its floor is lent, so
// that the decider may reassign its grants.
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

// rebuild builds the set in force from the floors minus loans, the surplus, and
// borrowed grants. A node borrows only when it has neither floor nor surplus, so the
// set needs a single expiry time.
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
