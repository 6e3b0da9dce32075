package relay

import (
	"math/rand/v2"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/control/campaign"
)

const (
	// avoidFor is how long a failed relay is skipped while others are available.
	avoidFor = 30 * time.Second
	// directPerSecond limits the rate at which the whole fleet reports directly
	// after relay failures. It is half of the report rate that a decider accepts.
	directPerSecond = 100
	// directWithin is the longest time after its last answered report until a node
	// reports directly. It is shorter than the surplus time to live of 15 s.
	directWithin = 12 * time.Second
)

// Members are the live nodes according to the VM list.
type Members struct {
	// FleetSize counts all nodes; Domain lists those of the node's own failure
	// domain.
	FleetSize int
	Domain    []*peerpb.NodeRef
}

// SelectorOptions configures a Selector.
type SelectorOptions struct {
	Account model.AccountName
	// MinFleet is the smallest fleet that uses relays, 0 for never.
	MinFleet int
	Members  func() Members
	Random   *rand.Rand
}

// Selector chooses whether a node's reports of one account go through the relay of
// its failure domain or directly to the decider. The relay is the first node of the
// domain in rendezvous hashing order. It is not safe for concurrent use.
type Selector struct {
	options SelectorOptions
	// avoidedUntil maps a VM to the time until which it is skipped as a relay.
	avoidedUntil map[string]time.Time
	// directAt is when the next report goes directly to the decider, zero if none is
	// scheduled.
	directAt time.Time
}

// NewSelector returns a selector without failed relays.
func NewSelector(options SelectorOptions) *Selector {
	return &Selector{options: options, avoidedUntil: make(map[string]time.Time)}
}

// Next returns the relay for a report at now and how long to wait for it. A nil
// relay means that the report goes directly to the decider.
func (s *Selector) Next(now time.Time) (relay *peerpb.NodeRef, timeout time.Duration) {
	members := s.options.Members()
	if s.options.MinFleet <= 0 || members.FleetSize < s.options.MinFleet || len(members.Domain) < MinDomainNodes {
		return nil, 0
	}
	if !s.directAt.IsZero() && !now.Before(s.directAt) {
		s.directAt = time.Time{}
		return nil, 0
	}
	return s.pickRelay(members.Domain, now), NodeTimeout(members.FleetSize)
}

// pickRelay returns the first relay that did not fail recently. If all did, it returns
// the one that failed first.
func (s *Selector) pickRelay(domain []*peerpb.NodeRef, now time.Time) *peerpb.NodeRef {
	refs := make(map[string]*peerpb.NodeRef, len(domain))
	names := make([]string, 0, len(domain))
	for _, ref := range domain {
		refs[ref.Vm] = ref
		names = append(names, ref.Vm)
	}
	var earliest string
	for _, name := range campaign.RankOrder(rankKey(s.options.Account), names) {
		until := s.avoidedUntil[name]
		if !until.After(now) {
			return refs[name]
		}
		if earliest == "" || until.Before(s.avoidedUntil[earliest]) {
			earliest = name
		}
	}
	return refs[earliest]
}

// rankKey gives relays a different order from deciders.
func rankKey(account model.AccountName) string { return "relay/" + string(account) }

// RecordFailure records that a relay gave no usable answer, and returns the delay
// after which the node should report directly. answered is when the last answered
// report was sent, zero for none.
//
// The delay is random, so that even if all relays fail the fleet sends only
// directPerSecond direct reports on average. The report after the direct one goes to
// the next relay.
func (s *Selector) RecordFailure(relay *peerpb.NodeRef, answered, now time.Time) time.Duration {
	s.dropExpired(now)
	s.avoidedUntil[relay.Vm] = now.Add(avoidFor)
	window := time.Duration(s.options.Members().FleetSize) * time.Second / directPerSecond
	if !answered.IsZero() {
		window = max(0, min(window, answered.Add(directWithin).Sub(now)))
	}
	delay := time.Duration(s.options.Random.Float64() * float64(window))
	s.directAt = now.Add(delay)
	return delay
}

func (s *Selector) dropExpired(now time.Time) {
	for vm, until := range s.avoidedUntil {
		if !until.After(now) {
			delete(s.avoidedUntil, vm)
		}
	}
}

// ForceDirect makes the next report go directly to the decider.
func (s *Selector) ForceDirect(now time.Time) { s.directAt = now }

// RecordAnswer cancels a scheduled direct report after an answer.
func (s *Selector) RecordAnswer() { s.directAt = time.Time{} }
