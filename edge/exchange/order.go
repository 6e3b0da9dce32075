package exchange

import "time"

// staleAfter is how long after the last datagram of an incarnation a lower one is taken
// for a new process: far longer than a datagram is on its way.
const staleAfter = time.Second

// order tells newer datagrams from older ones: they may overtake each other. It has the
// last one of each VM.
type order map[string]position

// position is where a VM's datagrams are.
type position struct {
	incarnation, number uint64
	at                  time.Time
}

// isNews reports whether a state is newer than the last one of its VM.
//
// Guard against a VM whose time of day went back between two starts: its incarnation is
// lower than the last one, and its reports would be dropped until its clock has caught up. It
// shows as a VM that serves but gets no callers. The guard holds because the old process
// has ended, so that no datagram of it comes any more.
func (o order) isNews(s State, now time.Time) bool {
	last, known := o[s.VM.Name]
	incarnation := s.VM.Incarnation
	switch {
	case !known, incarnation > last.incarnation:
	case incarnation < last.incarnation:
		if now.Sub(last.at) < staleAfter {
			return false
		}
	case s.Sequence <= last.number:
		return false
	}
	o[s.VM.Name] = position{incarnation, s.Sequence, now}
	return true
}
