package relay

import (
	"math/rand/v2"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/control/campaign"
)

const (
	// avoidFor is how long a relay that failed is not asked while there is another.
	avoidFor = 30 * time.Second
	// directPerSecond bounds the reports a second that the fleet sends directly
	// because relays fail. It is half of what a decider takes.
	directPerSecond = 100
	// directWithin is how long after its last report that was answered a node
	// reports directly at the latest: before its surplus ends, after 15 s.
	directWithin = 12 * time.Second
)

// Members are the live nodes as the VM list shows them.
type Members struct {
	// FleetSize counts all, Domain are those of the node's own failure domain.
	FleetSize int
	Domain    []*peerpb.NodeRef
}

// SelectorOptions configures a Route.
type SelectorOptions struct {
	Account model.AccountName
	// MinFleet is from how many nodes on relays are used, 0 for never.
	MinFleet int
	Members  func() Members
	Random   *rand.Rand
}

// Selector chooses by which way a node's reports of one account go: by the relay of
// its failure domain, the first of the domain's nodes in an order that rendezvous
// hashing gives, or directly to the decider. It is not safe for use by several
// goroutines.
type Selector struct {
	options SelectorOptions
	// avoided holds until when a VM is not asked.
	avoided map[string]time.Time
	// direct is when the next report goes directly, zero for no such time.
	direct time.Time
}

// NewSelector returns a route on which no relay has failed.
func NewSelector(options SelectorOptions) *Selector {
	return &Selector{options: options, avoided: make(map[string]time.Time)}
}

// Next returns the relay for a report at now and how long to wait for it; nil means
// that the report goes directly to the decider.
func (r *Selector) Next(now time.Time) (relay *peerpb.NodeRef, timeout time.Duration) {
	members := r.options.Members()
	if r.options.MinFleet <= 0 || members.FleetSize < r.options.MinFleet || len(members.Domain) < MinDomainNodes {
		return nil, 0
	}
	if !r.direct.IsZero() && !now.Before(r.direct) {
		r.direct = time.Time{}
		return nil, 0
	}
	return r.pick(members.Domain, now), NodeTimeout(members.FleetSize)
}

// pick returns the first relay that did not fail lately. When all did it is the one
// that failed first.
func (r *Selector) pick(domain []*peerpb.NodeRef, now time.Time) *peerpb.NodeRef {
	refs := make(map[string]*peerpb.NodeRef, len(domain))
	names := make([]string, 0, len(domain))
	for _, ref := range domain {
		refs[ref.Vm] = ref
		names = append(names, ref.Vm)
	}
	var earliest string
	for _, name := range campaign.RankOrder(orderName(r.options.Account), names) {
		until := r.avoided[name]
		if !until.After(now) {
			return refs[name]
		}
		if earliest == "" || until.Before(r.avoided[earliest]) {
			earliest = name
		}
	}
	return refs[earliest]
}

// orderName makes the order of relays another one than that of deciders.
func orderName(account model.AccountName) string { return "relay/" + string(account) }

// RecordFailure notes that a relay gave no answer that could be used, and returns after
// what time the node is to report directly. answered is when the last report was
// sent that was answered, zero for none.
//
// Guard against a burst on the decider when a relay ends that many nodes wait for,
// or all relays of a domain: the direct reports are spread by chance, so that the
// whole fleet sends directPerSecond in the mean. The next report after the direct
// one goes to the next relay.
func (r *Selector) RecordFailure(relay *peerpb.NodeRef, answered, now time.Time) time.Duration {
	r.forget(now)
	r.avoided[relay.Vm] = now.Add(avoidFor)
	window := time.Duration(r.options.Members().FleetSize) * time.Second / directPerSecond
	if !answered.IsZero() {
		window = max(0, min(window, answered.Add(directWithin).Sub(now)))
	}
	delay := time.Duration(r.options.Random.Float64() * float64(window))
	r.direct = now.Add(delay)
	return delay
}

func (r *Selector) forget(now time.Time) {
	for vm, until := range r.avoided {
		if !until.After(now) {
			delete(r.avoided, vm)
		}
	}
}

// ForceDirect makes the next report go directly.
func (r *Selector) ForceDirect(now time.Time) { r.direct = now }

// RecordAnswer notes that a report was answered, so that none is needed directly.
func (r *Selector) RecordAnswer() { r.direct = time.Time{} }
