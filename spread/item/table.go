package item

import (
	"maps"
	"sync"
	"sync/atomic"
)

// Outcome is the result of applying a state.
type Outcome uint8

// Outcomes of applying a state.
const (
	// Applied: the state is now the latest.
	Applied Outcome = iota
	// Duplicate: the table already has this state.
	Duplicate
	// Stale: the table has a later state.
	Stale
	// Pending: the state is held until the content it references arrives.
	Pending
	// Unreferenced: the state is content that no item references.
	Unreferenced
)

// Table holds the latest state of each key. It is safe for concurrent use, and
// snapshot readers never block.
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

// Apply stores the item if it is newer than the current state. It copies only
// the item's bucket.
func (t *Table) Apply(it Item) Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.current.Load()
	b := BucketOf(it.Key)
	have, found := old.buckets[b].items[it.Key]
	if found && have.Sum == it.Sum && have.SameVersion(it) {
		return Duplicate
	}
	// Relays, repairs and a restored store may deliver older states. Comparing
	// under the lock makes the highest version win in any order of arrival.
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

// Remove deletes a key without a tombstone. It is only for content, which is
// immutable, so that no older version can reappear.
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
