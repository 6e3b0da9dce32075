package ledger

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/grant"
)

// RecordContact records a message from a node and adds the node if it is new.
func (l *Ledger) RecordContact(node Node, now time.Time) {
	h := l.nodes[node.ID]
	if h == nil {
		h = l.addNode(node)
	}
	if h.firstContact.IsZero() {
		h.firstContact = now
	}
	h.lastContact = now
}

// SetLeaving records whether a node is in a planned stop. A node that has
// released its grants stays leaving.
func (l *Ledger) SetLeaving(id grant.NodeID, leaving bool) {
	if h := l.nodes[id]; h != nil {
		h.leaving = leaving || h.stopped
	}
}

// Acknowledge records that the node has applied the set (epoch, sequence), so
// earlier amounts are no longer in force. Acknowledgements of other epochs are
// ignored.
func (l *Ledger) Acknowledge(id grant.NodeID, epoch, sequence uint64) {
	h := l.nodes[id]
	if h == nil || epoch != l.epoch || sequence > l.sequence {
		return
	}
	if h.latestFirstSequence == 0 || sequence < h.latestFirstSequence {
		return
	}
	clear(h.older)
	h.olderUntil = time.Time{}
}

// Release records that the node has closed its admission permanently: it holds
// no grants and will apply no set that is still in flight.
func (l *Ledger) Release(id grant.NodeID) {
	h := l.nodes[id]
	if h == nil {
		return
	}
	h.clearInForce()
	clear(h.wanted)
	clear(h.allowed)
	h.leaving = true
	h.stopped = true
	l.releaseUnsaved = true
}

// SetWanted sets the amounts requested for a node, in the order of Keys. Propose
// grants them as far as the limits allow.
func (l *Ledger) SetWanted(id grant.NodeID, wanted []Amounts) {
	if h := l.nodes[id]; h != nil {
		copy(h.wanted, wanted)
	}
}

// IssuedSet is a set of grants to send to a node.
type IssuedSet struct {
	Epoch, Sequence uint64
	TTL             time.Duration
	// Amounts is in the order of Keys and must not be changed.
	Amounts []Amounts
	// FirstSequence is the sequence of the first set of this epoch with the same
	// amounts.
	FirstSequence uint64
}

// Issue returns the set to send in response to a report. The stored ledger covers its
// amounts, and its surplus counts as in force from now. now must be read after the
// report was received and before the lease was checked, so that a surplus issued
// without a lease still expires within the successor's wait.
func (l *Ledger) Issue(id grant.NodeID, now time.Time) (IssuedSet, bool) {
	h := l.nodes[id]
	if h == nil || !l.rewritten {
		return IssuedSet{}, false
	}
	l.sequence++
	if !h.upToDate() || h.latestFirstSequence == 0 {
		h.supersedeLatest(now)
		h.latest = h.nextContent()
		h.latestFirstSequence = l.sequence
	}
	h.latestUntil = now.Add(l.params.surplusTTLWithMargin())
	if l.params.Faults.FreeBeforeAcknowledged {
		clear(h.older)
	}
	return IssuedSet{
		Epoch:         l.epoch,
		Sequence:      l.sequence,
		TTL:           l.params.SurplusTTL,
		Amounts:       h.latest,
		FirstSequence: h.latestFirstSequence,
	}, true
}

func (h *nodeGrants) upToDate() bool {
	for k := range h.latest {
		if h.wanted[k].min(h.allowed[k]) != h.latest[k] {
			return false
		}
	}
	return true
}

// OutdatedNodes returns the nodes whose amounts have changed since the last set
// issued to them in this term.
func (l *Ledger) OutdatedNodes() []Node {
	var outdated []Node
	for _, h := range l.order {
		if h.latestFirstSequence != 0 && !h.upToDate() {
			outdated = append(outdated, h.node)
		}
	}
	return outdated
}

// nextContent returns a new slice because a sender may still read the last one.
func (h *nodeGrants) nextContent() []Amounts {
	c := make([]Amounts, len(h.latest))
	for k := range c {
		c[k] = h.wanted[k].min(h.allowed[k])
	}
	return c
}
