package item

import (
	"maps"
	"sync"
	"sync/atomic"
)

// Outcome tells what became of an offered state.
type Outcome uint8

// The outcomes.
const (
	// Applied: it is the latest state now.
	Applied Outcome = iota
	// Duplicate: the table has this very state.
	Duplicate
	// Stale: the table has a later state.
	Stale
	// Pending: it is kept aside until the content it names is there.
	Pending
	// Unreferenced: it is content that no item names.
	Unreferenced
)

// Table holds the latest state of each key. It is safe for use by several
// goroutines; readers of the snapshot never wait.
type Table struct {
	mu      sync.Mutex
	current atomic.Pointer[Snapshot]
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{}
	s := &Snapshot{}
	for i := range s.buckets {
		s.buckets[i] = &bucket{items: map[string]Item{}}
	}
	t.current.Store(s)
	return t
}

// Snapshot returns the current immutable view.
func (t *Table) Snapshot() *Snapshot { return t.current.Load() }

// Apply takes the item if it is later than what the table has. Only the
// item's bucket is copied.
func (t *Table) Apply(it Item) Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.current.Load()
	b := BucketOf(it.Key)
	have, found := old.buckets[b].items[it.Key]
	if found && have.Sum == it.Sum && have.SameVersion(it) {
		return Duplicate
	}
	// Relays, repairs and a restored store may all offer a state that is older
	// than the one in force. It would show as an accepted change that undoes
	// itself; comparing under the lock makes the highest version win in every
	// order of arrival.
	if found && !it.NewerThan(have) {
		return Stale
	}
	t.current.Store(old.with(b, it, have.Sum, found))
	return Applied
}

// with returns a copy in which the item replaces the state with sum oldSum.
func (s *Snapshot) with(b int, it Item, oldSum uint64, found bool) *Snapshot {
	next := *s
	items := make(map[string]Item, len(s.buckets[b].items)+1)
	maps.Copy(items, s.buckets[b].items)
	items[it.Key] = it
	delta := it.Sum
	if found {
		delta -= oldSum
	} else {
		next.count++
	}
	next.buckets[b] = &bucket{items: items, digest: s.buckets[b].digest + delta}
	next.digest += delta
	return &next
}

// Remove drops a key without a tombstone. It is for content, which is the same
// wherever it comes from, so that nothing older can come back in its place.
func (t *Table) Remove(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.current.Load()
	b := BucketOf(key)
	have, found := old.buckets[b].items[key]
	if !found {
		return
	}
	next := *old
	items := maps.Clone(old.buckets[b].items)
	delete(items, key)
	next.buckets[b] = &bucket{items: items, digest: old.buckets[b].digest - have.Sum}
	next.digest -= have.Sum
	next.count--
	t.current.Store(&next)
}
