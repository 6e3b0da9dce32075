// Package ledger tracks every grant of one client account: the largest amounts
// that may be in force on any node, given messages in flight, lost
// acknowledgements, and paused or unreachable nodes. Their sum never exceeds a
// capacity. The package does no I/O, and callers pass in the time.
//
// A decider calls it in this order:
//
//	Load (takeover) -> Rewrite -> write to the store -> ConfirmWrite
//	loop: SetWanted, Propose -> write to the store -> ConfirmWrite | DiscardWrite
//	on each report: RecordContact, Acknowledge, Issue -> send
//
// A write with an unknown outcome is retried with the same bytes and the same
// expected revision until the outcome is known; Propose returns it until then.
package ledger

import (
	"sort"
	"time"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
)

// Ledger holds all grants of one client account. It is not safe for concurrent
// use.
type Ledger struct {
	params      Params
	epoch       uint64
	writeNumber uint64
	sequence    uint64
	revision    uint64
	limits      *Limits
	keys        []Key
	index       map[Key]int
	nodes       map[grant.NodeID]*nodeGrants
	order       []*nodeGrants
	moves       []Move
	plan        Plan
	pending     *proposal
	// rewritten is true once the stored record has this decider's epoch.
	rewritten bool
	// planUnsaved is true while the plan is not in the store.
	planUnsaved bool
	// releaseUnsaved is true if a node has released its grants since the last
	// write. Without a write, a new decider would wait for the removal time.
	releaseUnsaved bool
	reductionDue   time.Time
	// recordSize is the size of the last proposed record in bytes.
	recordSize int
}

// Plan is the encoded plan that is stored with the ledger.
type Plan struct {
	Body     []byte
	Sequence uint64
}

// New returns an empty ledger for an account without a stored one.
func New(params Params, epoch uint64, limits *Limits) *Ledger {
	l := &Ledger{
		params: params,
		epoch:  epoch,
		index:  make(map[Key]int),
		nodes:  make(map[grant.NodeID]*nodeGrants),
	}
	l.SetLimits(limits)
	return l
}

// Epoch returns the fencing token of the decider.
func (l *Ledger) Epoch() uint64 { return l.epoch }

// Revision returns the newest configuration revision whose limits were applied.
func (l *Ledger) Revision() uint64 { return l.revision }

// Limits returns the capacities in use.
func (l *Ledger) Limits() *Limits { return l.limits }

// Keys returns the keys in the order used by all slices of amounts. Keys are
// only appended, so indexes stay valid.
func (l *Ledger) Keys() []Key { return l.keys }

// NodeCount returns the number of node incarnations in the ledger.
func (l *Ledger) NodeCount() int { return len(l.order) }

// UnlistedCount returns the number of nodes that no VM list has shown at their
// address. They get no floor.
func (l *Ledger) UnlistedCount() int {
	n := 0
	for _, h := range l.order {
		if h.node.ListSequence == 0 {
			n++
		}
	}
	return n
}

// RecordSize returns the size of the last proposed record in bytes.
func (l *Ledger) RecordSize() int { return l.recordSize }

// SetLimits replaces the limits. It returns false, and changes nothing, for a
// revision older than one already applied: a decider with a stale
// configuration must not raise grants above capacities lowered since.
func (l *Ledger) SetLimits(limits *Limits) bool {
	if limits.Revision < l.revision && !l.params.Faults.AcceptOldConfiguration {
		return false
	}
	l.limits = limits
	l.revision = limits.Revision
	for _, key := range limits.Keys() {
		l.addKey(key)
	}
	return true
}

func (l *Ledger) addKey(key Key) {
	if _, ok := l.index[key]; ok {
		return
	}
	l.index[key] = len(l.keys)
	l.keys = append(l.keys, key)
	for _, h := range l.order {
		h.grow(len(l.keys))
	}
}

func (l *Ledger) addNode(node Node) *nodeGrants {
	h := newNodeGrants(node, len(l.keys))
	l.nodes[node.ID] = h
	at := sort.Search(len(l.order), func(i int) bool { return !nodeLess(l.order[i].node.ID, node.ID) })
	l.order = append(l.order, nil)
	copy(l.order[at+1:], l.order[at:])
	l.order[at] = h
	return h
}

func (l *Ledger) removeNodes(removed map[grant.NodeID]bool) {
	if len(removed) == 0 {
		return
	}
	kept := l.order[:0]
	for _, h := range l.order {
		if removed[h.node.ID] {
			delete(l.nodes, h.node.ID)
			continue
		}
		kept = append(kept, h)
	}
	clear(l.order[len(kept):])
	l.order = kept
}

func nodeLess(a, b grant.NodeID) bool {
	if a.VM != b.VM {
		return a.VM < b.VM
	}
	return a.Incarnation < b.Incarnation
}

// Outstanding sums the largest amounts that may be in force at now.
func (l *Ledger) Outstanding(now time.Time) *Usage {
	return l.sum(func(h *nodeGrants, k int) Amounts { return h.inForce(k, now) })
}

// Reserved sums the amounts in the stored record.
func (l *Ledger) Reserved() *Usage {
	return l.sum(func(h *nodeGrants, k int) Amounts { return h.reserved[k] })
}

// Allowed sums the amounts that may be issued.
func (l *Ledger) Allowed() *Usage {
	return l.sum(func(h *nodeGrants, k int) Amounts { return h.allowed[k] })
}

func (l *Ledger) sum(of func(*nodeGrants, int) Amounts) *Usage {
	use := NewUsage()
	for _, h := range l.order {
		for k, key := range l.keys {
			use.Add(l.limits, h.node.Region, key, of(h, k).Total())
		}
	}
	return use
}

// NodeState is the allocation's input for one node.
type NodeState struct {
	Node Node
	// Wanted holds the amounts last passed to SetWanted, InForce the largest
	// amounts that may be in force.
	Wanted, InForce []Amounts
	// LastContact is the time of the last contact, zero for none.
	LastContact time.Time
	Leaving     bool
}

// States returns all nodes in a fixed order. All slices except InForce belong
// to the ledger and must not be changed.
func (l *Ledger) States(now time.Time) []NodeState {
	states := make([]NodeState, len(l.order))
	flat := make([]Amounts, len(l.order)*len(l.keys))
	for i, h := range l.order {
		inForce := flat[i*len(l.keys) : (i+1)*len(l.keys)]
		for k := range inForce {
			inForce[k] = h.inForce(k, now)
		}
		states[i] = NodeState{Node: h.node, Wanted: h.wanted, InForce: inForce, LastContact: h.lastContact, Leaving: h.leaving}
	}
	return states
}

// RegionOf returns the region of a node, "" for an unknown one.
func (l *Ledger) RegionOf(id grant.NodeID) model.RegionName {
	if h := l.nodes[id]; h != nil {
		return h.node.Region
	}
	return ""
}

// Permitted returns the largest amount that a node may have in force for a
// service, summed over all places.
func (l *Ledger) Permitted(id grant.NodeID, service model.ServiceName, now time.Time) grant.Amount {
	h := l.nodes[id]
	if h == nil {
		return 0
	}
	sum := grant.Amount(0)
	for k, key := range l.keys {
		if key.Service == service {
			sum += h.inForce(k, now).Total()
		}
	}
	return sum
}
