package holder

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/control/internal/names"
)

// SentRequest is a request under way: what was acknowledged in it and when it left.
type SentRequest struct {
	At              time.Time
	Epoch, Sequence uint64
	// GrantNames tells that it asks for grants with names.
	GrantNames bool
}

// ObserveEpoch notes that a decider of an epoch has been elected. From then on answers
// of older ones are refused, also before the new one has been asked.
func (c *Core) ObserveEpoch(epoch uint64) { c.seen = max(c.seen, epoch) }

// HighestEpoch returns the highest epoch heard of.
func (c *Core) HighestEpoch() uint64 { return c.seen }

// StartRequest notes that a report is about to be sent at now. The surplus in its
// answer counts from now: the decider counts from receiving the report, which
// is later, so it never takes a surplus for ended that the node still uses.
func (c *Core) StartRequest(now time.Time) SentRequest {
	return SentRequest{At: now, Epoch: c.acknowledgedEpoch, Sequence: c.acknowledgedSequence, GrantNames: c.unnamed}
}

// Outcome tells what became of an answer.
type Outcome uint8

// The outcomes of an answer.
const (
	// Applied: the set is in force.
	Applied Outcome = iota
	// Refused: the answer was none, or of a decider that does not hold the
	// lease.
	Refused
	// Late: the answer came after the request was given up, or after a pause
	// that voided it.
	Late
	// Stale: the answer is older than what is in force.
	Stale
	// UnknownGrantNames: the answer relies on names of grants that the node does not have.
	// The next request asks for them.
	UnknownGrantNames
)

// HandleResponse takes in the answer to a request. With Applied, Set returns the new
// set, and the next request acknowledges it; it must be put in force before
// that.
func (c *Core) HandleResponse(sent SentRequest, response *peerpb.RenewResponse, now time.Time) Outcome {
	if response.Code != uint32(result.OK) || c.stopping {
		return Refused
	}
	if c.late(sent, now) {
		return Late
	}
	if c.stale(response) {
		return Stale
	}
	if response.Unchanged && (sent.Epoch != c.epoch || sent.Sequence != c.sequence) {
		return Stale
	}
	if !c.named(response) {
		c.unnamed = true
		return UnknownGrantNames
	}
	c.apply(sent, response, now)
	return Applied
}

// named reports whether the node has the names that the grants in an answer go by.
//
// Guard against a decider that gave out other names before: amounts would be taken
// for those of other places, and these pushed past their capacity. The hash is of
// the names themselves, so that it cannot agree with others.
func (c *Core) named(response *peerpb.RenewResponse) bool {
	if response.GrantKeys == 0 {
		return true
	}
	return response.GrantKeys == c.keysHash &&
		len(response.Floors) == len(c.keys) && len(response.Surpluses) == len(c.keys)
}

// late reports whether the answer may rest on a state that is gone: the
// decider may have removed the node since it sent the answer.
func (c *Core) late(sent SentRequest, now time.Time) bool {
	if c.options.Params.Faults.KeepFloorsAfterPause || c.options.Params.Faults.TakeLateAnswers {
		return false
	}
	if now.Sub(sent.At) >= c.options.RequestTimeout || !sent.At.After(c.voided) {
		return true
	}
	return c.paused(now)
}

// stale reports whether the answer is not newer than what is in force. A
// decider that was paused and lost its lease sends an older epoch; the newer
// one has accounted for this node on the ground that it acknowledged a set.
func (c *Core) stale(response *peerpb.RenewResponse) bool {
	if c.options.Params.Faults.NoTokenCheck {
		return false
	}
	if response.Epoch < c.seen {
		return true
	}
	return response.Epoch == c.epoch && response.Sequence <= c.sequence
}

func (c *Core) apply(sent SentRequest, response *peerpb.RenewResponse, now time.Time) {
	if !response.Unchanged {
		c.grants = c.grantsOf(response)
	}
	c.epoch = response.Epoch
	c.sequence = response.Sequence
	c.latestEpoch, c.latestSequence = c.epoch, c.sequence
	c.seen = max(c.seen, response.Epoch)
	from := sent.At
	if c.options.Params.Faults.ExpiryFromReceipt {
		from = now
	}
	c.surplusExpires = from.Add(time.Duration(response.SurplusTtlMs) * time.Millisecond)
	c.borrowed = nil
	c.expireLoans(now)
	c.acknowledge()
	c.rebuild()
}

// acknowledge marks the set in force as acknowledged if its floors cover the
// loans. Otherwise the borrowers have more in force than the set says, and the
// decider must go on counting the larger floor of an earlier set.
func (c *Core) acknowledge() {
	if !c.coversLoans() && !c.options.Params.Faults.AcknowledgeLent {
		return
	}
	c.acknowledgedEpoch = c.epoch
	c.acknowledgedSequence = c.sequence
}

// grantsOf returns the grants of an answer that are not empty.
func (c *Core) grantsOf(response *peerpb.RenewResponse) []grant.Grant {
	if response.GrantKeys == 0 {
		return c.learn(response.Grants)
	}
	grants := make([]grant.Grant, 0, len(c.keys))
	for i, key := range c.keys {
		grants = appendGrant(grants, key, response.Floors[i], response.Surpluses[i])
	}
	return grants
}

// learn takes the names of grants into use.
func (c *Core) learn(wire []*peerpb.Grant) []grant.Grant {
	grants := make([]grant.Grant, 0, len(wire))
	hash := names.NewHasher()
	c.keys = make([]grant.Key, 0, len(wire))
	for _, g := range wire {
		key := c.keyOf(g)
		c.keys = append(c.keys, key)
		hash.Add(g.Service)
		hash.Add(g.Place)
		grants = appendGrant(grants, key, g.Floor, g.Surplus)
	}
	c.keysHash = hash.Sum()
	c.unnamed = false
	return grants
}

func appendGrant(grants []grant.Grant, key grant.Key, floor, surplus uint64) []grant.Grant {
	if floor == 0 && surplus == 0 {
		return grants
	}
	return append(grants, grant.Grant{Key: key, Floor: grant.Amount(floor), Surplus: grant.Amount(surplus)})
}

func (c *Core) keyOf(g *peerpb.Grant) grant.Key {
	return grant.Key{
		Account: c.options.Account,
		Service: model.ServiceName(g.Service),
		Place:   model.PlaceName(g.Place),
	}
}
