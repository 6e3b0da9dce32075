package exchange

import "time"

// restartGrace is how long a VM must have been silent before a lower incarnation is accepted as a
// new process. It is much longer than datagrams are in transit.
const restartGrace = time.Second

// sequenceTracker rejects duplicate and reordered datagrams. It holds the position of the last
// accepted datagram of each VM.
type sequenceTracker map[string]sequencePosition

// sequencePosition identifies a datagram of a VM, and when it was received.
type sequencePosition struct {
	incarnation, sequence uint64
	at                    time.Time
}

// accept reports whether a state is newer than the last one of its VM, and records it if so. A
// lower incarnation is accepted after restartGrace, as the clock of a VM may have been set back
// between two starts.
func (t sequenceTracker) accept(s State, now time.Time) bool {
	last, known := t[s.VM.Name]
	incarnation := s.VM.Incarnation
	switch {
	case !known, incarnation > last.incarnation:
	case incarnation < last.incarnation:
		if now.Sub(last.at) < restartGrace {
			return false
		}
	case s.Sequence <= last.sequence:
		return false
	}
	t[s.VM.Name] = sequencePosition{incarnation, s.Sequence, now}
	return true
}
