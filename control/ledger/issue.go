package ledger

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/grant"
)

// RecordContact notes that a node was heard, which adds it when it is new.
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

// SetLeaving notes that a node is in a planned stop.
func (l *Ledger) SetLeaving(id grant.NodeID, leaving bool) {
	if h := l.nodes[id]; h != nil {
		h.leaving = leaving || h.stopped
	}
}

// Acknowledge notes that the node has applied the set (epoch, sequence), so
// that no earlier content is in force any more. An acknowledgement of another
// epoch says nothing about the sets of this one.
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

// Release notes that the node has closed its admission for good: it holds
// nothing, and no set that is still under way will be applied.
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

// SetWanted asks for amounts in the order of Keys; they are given by Propose.
func (l *Ledger) SetWanted(id grant.NodeID, wanted []Amounts) {
	if h := l.nodes[id]; h != nil {
		copy(h.wanted, wanted)
	}
}

// IssuedSet is a set to be sent.
type IssuedSet struct {
	Epoch, Sequence uint64
	TTL             time.Duration
	// Amounts is in the order of Keys and must not be changed.
	Amounts []Amounts
	// FirstSequence is the first sequence of this epoch that had the same content.
	FirstSequence uint64
}

// Issue returns the set that answers a report received at now. What it holds
// is in the store's ledger already; the surplus counts as in force from now on
// for its time to live and the margin. now must be read after the report was
// received and before the lease was checked, so that a decider which lost its
// lease in between gave nothing that outlives the wait of its successor.
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

// OutdatedNodes returns the nodes that were given a set in this term and whose next set
// has other amounts.
func (l *Ledger) OutdatedNodes() []Node {
	var untold []Node
	for _, h := range l.order {
		if h.latestFirstSequence != 0 && !h.upToDate() {
			untold = append(untold, h.node)
		}
	}
	return untold
}

// nextContent is a new slice, as the last one may still be read by a sender.
func (h *nodeGrants) nextContent() []Amounts {
	c := make([]Amounts, len(h.latest))
	for k := range c {
		c[k] = h.wanted[k].min(h.allowed[k])
	}
	return c
}
