package grant

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// Set is all grants of one node for one account, as given at one point of the
// decider's order (Epoch, Sequence). A node never applies a set that is not
// later than its own. Sets are immutable once applied.
type Set struct {
	Account  model.AccountName
	Epoch    uint64
	Sequence uint64
	// SurplusExpires is when Surplus ends, by the holder's monotonic clock. It
	// is counted from the moment the holder sent the request that the set
	// answers, so that the decider, which counts from receiving it, never sees
	// it end earlier than the holder does.
	SurplusExpires time.Time
	Grants         []Grant
	// Alive, when set, must hold for anything in the set to be in force.
	Alive *Liveness
}

// Allowed returns what the set permits for a key at a time.
func (s *Set) Allowed(key Key, now time.Time) Amount {
	if s.Alive != nil && !s.Alive.Live(now) {
		return 0
	}
	for i := range s.Grants {
		g := &s.Grants[i]
		if g.Key != key {
			continue
		}
		if now.Before(s.SurplusExpires) {
			return g.Floor + g.Surplus
		}
		return g.Floor
	}
	return 0
}

// Newer reports whether s is later than t.
func (s *Set) Newer(t *Set) bool {
	if t == nil {
		return true
	}
	if s.Epoch != t.Epoch {
		return s.Epoch > t.Epoch
	}
	return s.Sequence > t.Sequence
}
