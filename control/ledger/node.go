package ledger

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
)

// Node is one incarnation of a node.
type Node struct {
	ID     grant.NodeID
	Region model.RegionName
	// Address is the node's peer address. Two incarnations with the same VM
	// identifier are on the same VM only if their addresses are equal.
	Address string
	// ListSequence is the sequence of the newest VM list that contained the node,
	// 0 if none did.
	ListSequence uint64
}

// nodeGrants tracks the amounts that one node may have in force. At all times,
// for each key,
//
//	in force <= allowed <= reserved
//
// and allowed is also at most the amount in the pending write.
type nodeGrants struct {
	node Node
	// reserved holds the amounts in the stored ledger.
	reserved []Amounts
	// allowed bounds the amounts that may be issued.
	allowed []Amounts
	// next holds the amounts in the pending write if proposed is true and is
	// scratch space otherwise.
	next     []Amounts
	proposed bool
	// wanted holds the amounts requested by the allocation.
	wanted []Amounts
	// latest holds the amounts last issued, first in the set with sequence
	// latestFirstSequence. Their surplus expires at latestUntil.
	latest              []Amounts
	latestFirstSequence uint64
	latestUntil         time.Time
	// older holds the largest earlier amounts that may still be in force because
	// nothing later has been acknowledged.
	older      []Amounts
	olderUntil time.Time
	// firstContact and lastContact are the times of the first and last contact
	// with this decider.
	firstContact, lastContact time.Time
	// unlistedSince and lastUnlisted are the times of the first and last
	// consecutive readings of the VM list without the node.
	unlistedSince, lastUnlisted time.Time
	// leaving is true during a planned stop, stopped once the node has closed its
	// admission permanently.
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

// wantedNow returns the amounts wanted for key k. A node that no VM list has contained
// gets no floor, because the list could never show that it ended.
func (h *nodeGrants) wantedNow(k int) Amounts {
	wanted := h.wanted[k]
	if h.node.ListSequence == 0 {
		wanted.Floor = 0
	}
	return wanted
}

// supersedeLatest merges the latest amounts into older, before new ones are
// issued.
func (h *nodeGrants) supersedeLatest(now time.Time) {
	for k := range h.older {
		h.older[k] = h.inForce(k, now)
	}
	if h.latestUntil.After(h.olderUntil) {
		h.olderUntil = h.latestUntil
	}
}

func (h *nodeGrants) clearInForce() {
	clear(h.latest)
	clear(h.older)
	h.latestUntil = time.Time{}
	h.olderUntil = time.Time{}
}
