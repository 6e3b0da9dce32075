package holder

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/control/internal/names"
)

// SentRequest describes a pending request: when it was sent and which set it
// acknowledged.
type SentRequest struct {
	At              time.Time
	Epoch, Sequence uint64
	// GrantNames is set if the request asks for grants with names.
	GrantNames bool
}

// ObserveEpoch records that a decider with this epoch was elected. Responses with an
// older epoch are rejected from then on.
func (c *Core) ObserveEpoch(epoch uint64) { c.highestEpoch = max(c.highestEpoch, epoch) }

// HighestEpoch returns the highest decider epoch known.
func (c *Core) HighestEpoch() uint64 { return c.highestEpoch }

// StartRequest returns the state to send with a report at now. The surplus in the
// response counts from now; the decider counts from receipt, which is later, so it
// never reassigns a surplus that the node still uses.
func (c *Core) StartRequest(now time.Time) SentRequest {
	return SentRequest{At: now, Epoch: c.acknowledgedEpoch, Sequence: c.acknowledgedSequence, GrantNames: c.needGrantNames}
}

// Outcome is the result of handling a response.
type Outcome uint8

// Outcomes of a response.
const (
	// Applied means that the set is in force.
	Applied Outcome = iota
	// Refused means that the response carries an error code, for example because the
	// decider does not hold the lease, or that the node is stopping.
	Refused
	// Late means that the response arrived after the request timed out or after a
	// pause that invalidated it.
	Late
	// Stale means that the response is older than the set in force.
	Stale
	// UnknownGrantNames means that the response relies on grant names that the node
	// does not have. The next request asks for them.
	UnknownGrantNames
)

// HandleResponse handles the response to a request. After Applied, the caller must
// put Set in force before the next request, which acknowledges it.
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
	if !c.knowsKeys(response) {
		c.needGrantNames = true
		return UnknownGrantNames
	}
	c.apply(sent, response, now)
	return Applied
}

// knowsKeys reports whether the node has the names to which the amounts in a
// response refer. Otherwise amounts could be assigned to the wrong places and exceed
// their capacity.
func (c *Core) knowsKeys(response *peerpb.RenewResponse) bool {
	if response.GrantKeys == 0 {
		return true
	}
	return response.GrantKeys == c.keysHash &&
		len(response.Floors) == len(c.keys) && len(response.Surpluses) == len(c.keys)
}

// late reports whether a response may be outdated: the decider may have removed the
// node since sending it.
func (c *Core) late(sent SentRequest, now time.Time) bool {
	if c.options.Params.Faults.KeepFloorsAfterPause || c.options.Params.Faults.AcceptLateResponses {
		return false
	}
	if now.Sub(sent.At) >= c.options.RequestTimeout || !sent.At.After(c.voidedAt) {
		return true
	}
	return c.paused(now)
}

// stale reports whether a response is not newer than the set in force. A paused
// decider that lost its lease sends an older epoch, while its successor already
// relies on what this node acknowledged.
func (c *Core) stale(response *peerpb.RenewResponse) bool {
	if c.options.Params.Faults.NoTokenCheck {
		return false
	}
	if response.Epoch < c.highestEpoch {
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
	c.highestEpoch = max(c.highestEpoch, response.Epoch)
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

// acknowledge marks the set in force as acknowledged if its floors cover the loans.
// Otherwise borrowers still use more than the set grants, and the decider must keep
// counting the larger floor of an earlier set.
func (c *Core) acknowledge() {
	if !c.coversLoans() && !c.options.Params.Faults.AcknowledgeLentFloors {
		return
	}
	c.acknowledgedEpoch = c.epoch
	c.acknowledgedSequence = c.sequence
}

// grantsOf returns the non-empty grants of a response.
func (c *Core) grantsOf(response *peerpb.RenewResponse) []grant.Grant {
	if response.GrantKeys == 0 {
		return c.learnKeys(response.Grants)
	}
	grants := make([]grant.Grant, 0, len(c.keys))
	for i, key := range c.keys {
		grants = appendGrant(grants, key, response.Floors[i], response.Surpluses[i])
	}
	return grants
}

// learnKeys stores the keys of named grants and returns the non-empty grants.
func (c *Core) learnKeys(wire []*peerpb.Grant) []grant.Grant {
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
	c.needGrantNames = false
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
