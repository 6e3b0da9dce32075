package changelog

import (
	"maps"
	"sync"
)

// Guard remembers the newest version of each head that this process has seen.
//
// It is for a store that was restored from a copy or failed over to a replica
// that lagged: the store then shows an older head, and a node that took it
// would put a change out of force that operators were told is in force. The
// guard holds because versions only grow while the store is whole, so an older
// one is proof that it is not. It knows only what this process has seen; a
// process that starts after the restore learns the versions in force from its
// peers by Learn.
type Guard struct {
	mu   sync.Mutex
	seen map[string]Sighting
}

// Sighting is a version and the change that made it.
type Sighting struct {
	Version
	// Last is the identifier of the head's newest change, "" when it is not
	// known. Two heads of one version with different changes come from two
	// histories.
	Last string
}

// NewGuard returns a guard that has seen nothing.
func NewGuard() *Guard { return &Guard{seen: map[string]Sighting{}} }

// Seen returns the newest sighting of a head.
func (g *Guard) Seen(template string) Sighting {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.seen[template]
}

// Learn takes in a version that is known to be in force, for example from a
// peer.
func (g *Guard) Learn(template string, s Sighting) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.seen[template].Less(s.Version) {
		g.seen[template] = s
	}
}

// Admit takes in a head that was read from the store. before is what Seen
// returned before the read began: a read that was overtaken by another one may
// be older than the newest sighting, but never older than before.
func (g *Guard) Admit(template string, before, found Sighting) error {
	if found.Less(before.Version) || found.forks(before) {
		return &WentBackError{Template: template, Seen: before.Version, Found: found.Version}
	}
	g.Learn(template, found)
	return nil
}

// Forks reports whether a head has the version of the newest sighting and was
// made by another change.
func (g *Guard) Forks(template string, found Sighting) bool {
	return found.forks(g.Seen(template))
}

func (s Sighting) forks(t Sighting) bool {
	return s.Version == t.Version && s.Last != "" && t.Last != "" && s.Last != t.Last
}

// Sighting returns the head as a Guard sees it.
func (h *Head) Sighting() Sighting { return Sighting{Version: h.Version, Last: h.last()} }

// All returns the newest sightings of all heads.
func (g *Guard) All() map[string]Sighting {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.seen)
}
