// Package ledger accounts for every grant of one client account: what may be
// in force on any node, counting messages under way, lost acknowledgements,
// paused and unreachable nodes. Its sum never passes a capacity. The package
// is pure: it does no I/O, and the clock is passed in.
//
// The order of use by a decider:
//
//	Load (takeover) -> Rewrite -> write to the store -> ConfirmWrite
//	loop: SetWanted, Propose -> write to the store -> ConfirmWrite | DiscardWrite
//	on each report: RecordContact, Acknowledge, Issue -> send
//
// A write whose outcome is unknown is sent again with the same bytes and the
// same expected revision until it is known; Propose returns it until then.
package ledger

import (
	"sort"
	"time"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
)

// Ledger is the account of all grants of one client account. It is not safe
// for use by several goroutines.
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
	// rewritten tells that the store holds this decider's epoch.
	rewritten bool
	// planUnsaved tells that the plan is not in the store yet.
	planUnsaved bool
	// releaseUnsaved tells that a node has handed back its grants since the last
	// write: without a write a new decider would wait for the removal time.
	releaseUnsaved bool
	reductionDue   time.Time
	// recordSize is the size of the last write.
	recordSize int
}

// Plan is the last plan as the ledger keeps it.
type Plan struct {
	Body     []byte
	Sequence uint64
}

// New returns an empty ledger for an account that has none.
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

// Revision returns the newest configuration revision the ledger was bounded by.
func (l *Ledger) Revision() uint64 { return l.revision }

// Limits returns the capacities in use.
func (l *Ledger) Limits() *Limits { return l.limits }

// Keys returns the keys in the order of all amounts. Keys are only added, so
// that an index stays valid.
func (l *Ledger) Keys() []Key { return l.keys }

// NodeCount returns how many lives of nodes the ledger counts.
func (l *Ledger) NodeCount() int { return len(l.order) }

// UnlistedCount returns how many nodes that were heard no VM list has shown at
// their address. They get no floor.
func (l *Ledger) UnlistedCount() int {
	n := 0
	for _, h := range l.order {
		if h.node.ListSequence == 0 {
			n++
		}
	}
	return n
}

// RecordSize returns the size of the last write proposed.
func (l *Ledger) RecordSize() int { return l.recordSize }

// SetLimits takes capacities into use. It returns false, and changes nothing,
// for a configuration older than one the ledger was bounded by: a decider that
// lags behind its predecessor must not raise by capacities that an operator
// has lowered since.
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

func (l *Ledger) removeNodes(gone map[grant.NodeID]bool) {
	if len(gone) == 0 {
		return
	}
	kept := l.order[:0]
	for _, h := range l.order {
		if gone[h.node.ID] {
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

// Outstanding sums the largest amounts that may be in force.
func (l *Ledger) Outstanding(now time.Time) *Usage {
	return l.sum(func(h *nodeGrants, k int) Amounts { return h.inForce(k, now) })
}

// Reserved sums what the store's ledger counts.
func (l *Ledger) Reserved() *Usage {
	return l.sum(func(h *nodeGrants, k int) Amounts { return h.reserved[k] })
}

// Allowed sums what may be sent.
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

// NodeState is what the allocation needs to know of a node.
type NodeState struct {
	Node Node
	// Wanted is what was last asked for, InForce what may be in force.
	Wanted, InForce []Amounts
	// LastContact is when the node was last heard, zero for never.
	LastContact time.Time
	Leaving     bool
}

// States returns all nodes in a fixed order. The slices are the ledger's own
// but for InForce: do not change them.
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
// service, over all places.
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
