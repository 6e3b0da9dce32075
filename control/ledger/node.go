package ledger

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
)

// Node is one life of a node as the ledger knows it.
type Node struct {
	ID     grant.NodeID
	Region model.RegionName
	// Address is where the node takes messages from other nodes. Two lives
	// with one VM identifier are on the same VM only if their addresses agree.
	Address string
	// ListSequence is the sequence of a VM list that showed the node, 0 for none.
	ListSequence uint64
}

// nodeGrants is what one node may have in force.
//
//	in force <= allowed <= reserved
//
// holds for each key at all times, and allowed <= the pending write too.
type nodeGrants struct {
	node Node
	// reserved is what the store's ledger counts for the node.
	reserved []Amounts
	// allowed bounds what may be sent.
	allowed []Amounts
	// next is what the pending write counts, if proposed; it is a buffer
	// otherwise.
	next     []Amounts
	proposed bool
	// wanted is what the allocation asks for.
	wanted []Amounts
	// latest is the content last sent, first in the set with sequence
	// latestFrom. Its surplus ends at latestUntil.
	latest              []Amounts
	latestFirstSequence uint64
	latestUntil         time.Time
	// older is the largest of all earlier contents that may still be in
	// force because nothing later has been acknowledged.
	older      []Amounts
	olderUntil time.Time
	// firstContact and lastContact are when this decider firstContact and last lastContact the node.
	firstContact, lastContact time.Time
	// unlistedSince is since when the VM list does not show the node, lastUnlisted
	// is the last reading that told so.
	unlistedSince, lastUnlisted time.Time
	// leaving tells that the node is in a planned stop, stopped that it has
	// closed its admission for good.
	leaving, stopped bool
}

func newNodeGrants(node Node, keys int) *nodeGrants {
	return &nodeGrants{
		node:     node,
		reserved: make([]Amounts, keys),
		allowed:  make([]Amounts, keys),
		next:     make([]Amounts, keys),
		wanted:   make([]Amounts, keys),
		latest:   make([]Amounts, keys),
		older:    make([]Amounts, keys),
	}
}

func (h *nodeGrants) grow(keys int) {
	h.reserved = grow(h.reserved, keys)
	h.allowed = grow(h.allowed, keys)
	h.next = grow(h.next, keys)
	h.wanted = grow(h.wanted, keys)
	h.latest = grow(h.latest, keys)
	h.older = grow(h.older, keys)
}

// inForce returns the largest amounts that may be in force for key k.
func (h *nodeGrants) inForce(k int, now time.Time) Amounts {
	latest := h.latest[k]
	if !now.Before(h.latestUntil) {
		latest.Surplus = 0
	}
	older := h.older[k]
	if !now.Before(h.olderUntil) {
		older.Surplus = 0
	}
	return latest.max(older)
}

// supersedeLatest counts the latest content as one that may still be in force under a
// new one.
func (h *nodeGrants) supersedeLatest(now time.Time) {
	for k := range h.older {
		h.older[k] = h.inForce(k, now)
	}
	if h.latestUntil.After(h.olderUntil) {
		h.olderUntil = h.latestUntil
	}
}

// clearInForce counts nothing in force any more.
func (h *nodeGrants) clearInForce() {
	clear(h.latest)
	clear(h.older)
	h.latestUntil = time.Time{}
	h.olderUntil = time.Time{}
}
