package replica

import (
	"bytes"
	"context"
	"strings"
	"time"

	"github.com/yuccaroute/yuccaroute/store"
)

// retainTime is how long after the store was restored its earlier state is kept for other VMs. Whoever
// wrote it has written it again by then.
const retainTime = 10 * time.Second

// removalTime is how long removals are remembered: a copy of the store may be that old.
const removalTime = time.Minute

// Span is the part of the store's history in an earlier era that a VM knows: the state at Last, and the
// removals after First. The zero Span is none.
type Span struct {
	First store.Revision `msgpack:"f"`
	Last  store.Revision `msgpack:"l"`
}

// LostChange is a change that a restored store lacks. Age is the time since a VM found that.
type LostChange struct {
	Entry   store.Entry   `msgpack:"e"`
	Removed bool          `msgpack:"r,omitempty"`
	Age     time.Duration `msgpack:"a"`
}

// covers reports whether a span has all that another one has.
func (s Span) covers(other Span) bool {
	return other.Last == 0 || s.Last >= other.Last && s.First <= other.First
}

// join returns the span of what two VMs know together; if there is a gap between them, the later one.
func (s Span) join(other Span) Span {
	switch {
	case other.First > s.Last:
		return other
	case s.First > other.Last:
		return s
	}
	return Span{First: min(s.First, other.First), Last: max(s.Last, other.Last)}
}

// retained is what the store had in earlier eras and lacks, or has in another state, since it was
// restored. A VM that starts then sees only the restored store, and one may have seen less of it before than
// another. They copy from those that saw more, until it is written again.
type retained struct {
	span Span
	// copied are the spans of other VMs that are in the state.
	copied map[Span]bool
	// era is that of the store since it was restored.
	era uint64
	// changes are by key, those of earlier eras first.
	changes map[string][]Change
	// known are the revisions of all latest changes, also of those that the restored store has.
	known map[string]store.Revision
	until time.Time
}

func newRetained(era uint64) retained {
	return retained{
		era: era, until: time.Now().Add(retainTime), copied: make(map[Span]bool),
		changes: make(map[string][]Change), known: make(map[string]store.Revision),
	}
}

func (r *retained) add(change Change) {
	key := change.Entry.Key
	r.changes[key] = append(r.changes[key], change)
}

// retain keeps what a restored store lacks or has with other values, and removals that it does not know
// of. It must be called before the snapshot is applied, with the lock held.
func (r *Replica) retain(snapshot Snapshot) {
	earlier := r.retained
	r.retained = newRetained(snapshot.At.Era())
	r.retained.span = Span{First: r.firstRevision, Last: r.revision}
	if time.Now().Before(earlier.until) {
		r.retained.changes, r.retained.known = earlier.changes, earlier.known
	}
	restored := make(map[string]store.Entry, len(snapshot.Items))
	for _, entry := range snapshot.Items {
		restored[entry.Key] = entry
	}
	for key, change := range r.latestChanges() {
		r.retained.known[key] = change.Entry.Revision
		entry, found := restored[key]
		isSame := found && !change.Removed && bytes.Equal(entry.Value, change.Entry.Value)
		if !isSame && (found || !change.Removed) {
			change.LostAt = time.Now()
			r.retained.add(change)
		}
	}
}

// latestChanges returns the latest known change of each key. It requires the lock.
func (r *Replica) latestChanges() map[string]Change {
	latest := make(map[string]Change, len(r.items)+len(r.removals))
	for key, removal := range r.removals {
		latest[key] = removal.Change
	}
	for key, entry := range r.items {
		latest[key] = Change{Entry: entry}
	}
	return latest
}

// forgetRetained drops the earlier state of keys that have changed since. It requires the lock.
func (r *Replica) forgetRetained(changes []Change) {
	for _, change := range changes {
		delete(r.retained.changes, change.Entry.Key)
	}
}

// removal is a removal and when this VM learned of it.
type removal struct {
	Change
	at time.Time
}

// rememberRemovals keeps removals for removalTime, also across restores. It requires the lock.
func (r *Replica) rememberRemovals(changes []Change) {
	now := time.Now()
	for _, change := range changes {
		switch {
		case !change.Removed:
			delete(r.removals, change.Entry.Key)
		case !change.Lost:
			r.removals[change.Entry.Key] = removal{Change: change, at: now}
		}
	}
	for key, old := range r.removals {
		if now.Sub(old.at) >= removalTime {
			delete(r.removals, key)
		}
	}
}

// Retained returns the part of the store's history from before it was restored that this VM keeps for
// others.
func (r *Replica) Retained() Span {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retainedSpan()
}

// retainedSpan requires the lock.
func (r *Replica) retainedSpan() Span {
	if len(r.retained.changes) == 0 || r.retained.era != r.revision.Era() || !time.Now().Before(r.retained.until) {
		return Span{}
	}
	return r.retained.span
}

// addRetained adds the earlier state to a full snapshot. It requires the lock.
func (r *Replica) addRetained(snapshot *Snapshot) {
	if snapshot.Retained = r.retainedSpan(); snapshot.Retained == (Span{}) {
		return
	}
	for _, changes := range r.retained.changes {
		for _, change := range changes {
			snapshot.Lost = append(snapshot.Lost, LostChange{Entry: change.Entry, Removed: change.Removed, Age: time.Since(change.LostAt)})
		}
	}
}

// ObserveRetained compares what this VM knows from before the store was restored with what another VM at a
// revision does. If the other one knows more, that is copied.
func (r *Replica) ObserveRetained(ctx context.Context, peer string, revision store.Revision, span Span) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.loaded || r.fetching || revision.Era() != r.revision.Era() || !r.isMissing(span) {
		return
	}
	r.fetching = true
	go r.fetch(ctx, peer, 0)
}

// isMissing reports whether a part of the history from before the store was restored has something that
// this VM does not know. It requires the lock.
func (r *Replica) isMissing(span Span) bool {
	era := r.revision.Era()
	if span.Last == 0 || span.Last.Era() >= era {
		return false
	}
	return r.retained.era != era || !r.retained.copied[span] && !r.retained.span.covers(span)
}

// applyRetained applies what another VM knows from before the store was restored and this one does not: each
// item as it was then, and after that as the store has it. It requires the lock.
func (r *Replica) applyRetained(snapshot Snapshot) {
	if !r.loaded || snapshot.At.Era() != r.revision.Era() || !r.isMissing(snapshot.Retained) {
		return
	}
	if r.retained.era != r.revision.Era() {
		r.retained = newRetained(r.revision.Era())
	}
	own := r.retained.span
	r.retained.copied[snapshot.Retained] = true
	r.retained.span, r.retained.until = own.join(snapshot.Retained), time.Now().Add(retainTime)
	var changes []Change
	lostAt := make(map[string]time.Time)
	for _, lost := range snapshot.Lost {
		key := lost.Entry.Key
		earlier := Change{Entry: lost.Entry, Removed: lost.Removed, LostAt: time.Now().Add(-lost.Age)}
		if !strings.HasPrefix(key, r.options.Prefix) || !r.retained.lacks(earlier, own) {
			continue
		}
		r.retained.known[key] = max(r.retained.known[key], earlier.Entry.Revision)
		r.retained.add(earlier)
		changes = append(changes, earlier)
		lostAt[key] = earlier.LostAt
	}
	r.options.Logger.WithFields(revisionFields(r.revision)).WithField("items", len(changes)).
		Info("replica: what the restored store lacks copied from a peer")
	for key, at := range lostAt {
		changes = append(changes, r.currentChange(key, at))
	}
	r.notify(changes)
}

// currentChange returns an item as the store has it, or its loss. It requires the lock.
func (r *Replica) currentChange(key string, lostAt time.Time) Change {
	if entry, found := r.items[key]; found {
		return Change{Entry: entry}
	}
	return Change{Entry: store.Entry{Key: key, Revision: r.revision}, Removed: true, Lost: true, LostAt: lostAt}
}

// lacks reports whether a change is later than what was known of its key in a span.
func (r *retained) lacks(change Change, span Span) bool {
	known, found := r.known[change.Entry.Key]
	if !found && !change.Removed && change.Entry.Revision <= span.Last {
		// It was removed again.
		return false
	}
	return change.Entry.Revision > known || change.Removed && change.Entry.Revision == known
}
