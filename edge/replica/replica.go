// Package replica keeps a copy of the store's items on an entry VM. A replica follows the
// store by a watch, or copies snapshots from another VM when this VM does not watch or the
// store does not serve it. Changes are ordered by the store's revision, and a replica never
// goes back to an earlier one. When the store was restored from a copy, its revisions are of a later era:
// the replica takes the store's state as it is then, and marks what the store lost.
package replica

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/api/wait"
	"github.com/yuccaroute/yuccaroute/store"
)

const (
	// batchDelay is the pause between a change and the next watch. Changes within it are
	// read by a single call: calls have a price, and a change has seconds to come into force.
	batchDelay = 400 * time.Millisecond
	// standbyBatchDelay is the same for standby watchers, which copy changes from the watch
	// leader meanwhile. It stays below the time in which a removed target must no longer
	// receive requests.
	standbyBatchDelay = 1200 * time.Millisecond
	// minRetryPause and maxRetryPause bound the exponential backoff after failed calls.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = time.Second
	// backupRetryPause is the pause of VMs that watch only because the default watchers
	// have lost the store: in an outage these are all VMs of a region.
	backupRetryPause = 3 * time.Second
	// firstWatchDelay is the pause between the first listing and the first watch. Without
	// reports from the others, every VM would take itself for a watcher.
	firstWatchDelay = 500 * time.Millisecond
	// catchUpDelay is how long a replica stays behind a peer before it copies a snapshot
	// from there. Its own watch, or a nearby peer, is usually as fast.
	catchUpDelay = 300 * time.Millisecond
	// roleCheckInterval is how often a replica that does not watch checks whether it should.
	roleCheckInterval = 200 * time.Millisecond
	// maxRecentChanges limits the changes kept for partial snapshots, some minutes' worth on an
	// ordinary day.
	maxRecentChanges = 512
)

// Change is a write or a removal of one item.
type Change struct {
	// Entry has the last known value if it was removed.
	Entry   store.Entry
	Removed bool
	// Lost is set if the item was not removed, but was missing when the store was restored from a copy, as a
	// VM found at LostAt.
	Lost   bool
	LostAt time.Time
}

// Options configure a Replica.
type Options struct {
	KV     store.KV
	Logger *logrus.Entry
	// Prefix of the keys to replicate.
	Prefix string
	// Changed is called for each batch of changes in order, one call at a time. It must not
	// call methods of the Replica.
	Changed func([]Change)
	// FetchSnapshot reads another VM's snapshot of what changed after a revision.
	FetchSnapshot func(ctx context.Context, peer string, after store.Revision) (Snapshot, error)
	// ShouldWatch reports whether this VM watches the store. Other VMs copy from those that
	// do.
	ShouldWatch func() bool
	// IsWatchLeader reports whether this VM is the first of the watchers. The others are
	// standbys in case it loses the store.
	IsWatchLeader func() bool
	// IsDefaultWatcher reports whether this VM watches when the store answers all VMs.
	IsDefaultWatcher func() bool
}

// Replica is a copy of the store's items. It is safe for concurrent use.
type Replica struct {
	options Options

	mu       sync.Mutex
	revision store.Revision
	items    map[string]store.Entry
	loaded   bool
	// connected is set if the last call to the store was answered.
	connected bool
	watching  bool
	calls     uint64
	// behindSince is when a peer was first seen to be ahead, zero if none is.
	behindSince time.Time
	fetching    bool
	// cancelCall cancels the current call to the store.
	cancelCall context.CancelFunc
	// unverified is set when changes may have been missed: the last call failed, or this VM
	// has just begun to watch.
	unverified bool
	// recent holds all changes after recentAfter.
	recent      []Change
	recentAfter store.Revision
	// firstRevision is that of the first snapshot of the era, from which on all removals are known. removals
	// are by key; some are of earlier eras.
	firstRevision store.Revision
	removals      map[string]removal
	retained      retained
}

// New returns an empty replica.
func New(o Options) *Replica {
	return &Replica{options: o, items: make(map[string]store.Entry), removals: make(map[string]removal)}
}

// Revision returns the replica's revision, and false before the first snapshot.
func (r *Replica) Revision() (store.Revision, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision, r.loaded
}

// Calls returns the number of calls made to the store.
func (r *Replica) Calls() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls
}

// Connected reports whether this VM watches the store and its last call was answered.
func (r *Replica) Connected() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.connected && r.watching
}

// Run follows the store until the context ends.
func (r *Replica) Run(ctx context.Context) {
	pause := minRetryPause
	for ctx.Err() == nil {
		if !r.setWatching(r.options.ShouldWatch()) {
			wait.For(ctx, roleCheckInterval)
			continue
		}
		result, err := r.pollCancelable(ctx)
		if r.setConnected(err == nil) {
			r.logConnection(err)
		}
		if err != nil {
			r.setUnverified(true)
			pause = r.retryPause(pause)
			wait.For(ctx, pause/2+rand.N(pause/2))
			pause = min(2*pause, maxRetryPause)
			continue
		}
		pause = minRetryPause
		wait.For(ctx, r.pauseAfter(result))
	}
}

// pollCancelable is poll, which CancelWatch can cancel.
func (r *Replica) pollCancelable(ctx context.Context) (callResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.mu.Lock()
	r.cancelCall = cancel
	r.mu.Unlock()
	return r.poll(ctx)
}

// Watching reports whether this VM watches the store.
func (r *Replica) Watching() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.watching
}

// CancelWatch cancels the current call of a VM that watches. It is called when the store did
// not answer another call of this VM, so that a hanging watch does not hide that the VM has
// lost the store.
func (r *Replica) CancelWatch() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.watching && r.cancelCall != nil {
		r.cancelCall()
	}
}

// retryPause returns the pause after a failed call, given that of the backoff.
func (r *Replica) retryPause(backoff time.Duration) time.Duration {
	if _, loaded := r.Revision(); loaded && !r.options.IsDefaultWatcher() {
		return backupRetryPause
	}
	return backoff
}

// callResult is the kind of result of a call to the store.
type callResult int

const (
	resultNone callResult = iota
	resultChanges
	resultFirstSnapshot
)

// pauseAfter returns the pause before the next call.
func (r *Replica) pauseAfter(result callResult) time.Duration {
	switch {
	case result == resultFirstSnapshot:
		return firstWatchDelay
	case result == resultChanges && r.options.IsWatchLeader():
		return batchDelay
	case result == resultChanges:
		return standbyBatchDelay
	}
	return 0
}

// setWatching sets the role and reports whether to call the store: VMs that watch do, and
// all that have no snapshot yet.
func (r *Replica) setWatching(watches bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.watching != watches {
		r.unverified = watches
		r.options.Logger.WithFields(revisionFields(r.revision)).WithField("watches", watches).Info("replica: role changed")
	}
	r.watching = watches
	return watches || !r.loaded
}

// setConnected reports whether the state has changed.
func (r *Replica) setConnected(connected bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := r.connected != connected
	r.connected = connected
	return changed
}

func (r *Replica) logConnection(err error) {
	revision, _ := r.Revision()
	log := r.options.Logger.WithFields(revisionFields(revision))
	if err != nil {
		log.WithError(err).Warn("replica: store lost")
		return
	}
	log.Info("replica: store reached")
}

// poll makes one call: a listing for the first snapshot, a watch afterwards. The first
// snapshot may be stale, which is cheaper when all VMs start at once; the watch or a peer
// that is ahead brings it up to date.
func (r *Replica) poll(ctx context.Context) (callResult, error) {
	revision, loaded := r.Revision()
	if !loaded {
		list, err := r.list(store.AllowStale(ctx))
		if err != nil {
			return resultNone, err
		}
		r.ApplySnapshot(Snapshot{At: list.At, Items: list.Entries})
		return resultFirstSnapshot, nil
	}
	if r.isUnverified() {
		return r.catchUp(ctx, revision)
	}
	batch, err := r.watch(ctx, revision)
	if err != nil {
		return resultNone, err
	}
	if batch.Reset {
		r.options.Logger.WithFields(revisionFields(revision)).WithField("store_era", batch.At.Era()).
			Warn("replica: the store's history is gone")
		return resultChanges, r.reload(ctx, revision, batch.At)
	}
	if len(batch.Events) == 0 && batch.At > revision && r.options.Prefix == "" {
		// The store has changes that a watch of all keys did not return.
		r.setUnverified(true)
		return resultNone, nil
	}
	r.apply(batch)
	if len(batch.Events) == 0 {
		return resultNone, nil
	}
	return resultChanges, nil
}

// reload lists the store, which is at a revision (0 if that is not known), when it did not return the
// changes after the replica's. Standby watchers leave this to the watch leader and copy from it, as a
// listing takes several calls. If the store was restored they do not: the leader may have failed with it.
func (r *Replica) reload(ctx context.Context, revision, at store.Revision) error {
	isWrong := at != 0 && at.Era() == revision.Era() && at < revision
	if !isWrong && at.Era() <= revision.Era() && !r.options.IsWatchLeader() {
		return nil
	}
	list, err := r.list(ctx)
	if err != nil {
		return err
	}
	if isWrong {
		// A first listing that was stale can be of the era before the one that its response told.
		r.options.Logger.WithFields(revisionFields(revision)).WithField("store_at", list.At.Number()).
			Warn("replica: the store was never at this revision, its state replaces the replica")
		r.discard()
	}
	r.ApplySnapshot(Snapshot{At: list.At, Items: list.Entries})
	return nil
}

// discard forgets all revisions, so that any snapshot is newer.
func (r *Replica) discard() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision = 0
	for key, entry := range r.items {
		entry.Revision = 0
		r.items[key] = entry
	}
}

// revisionFields are the log fields of a revision.
func revisionFields(at store.Revision) logrus.Fields {
	return logrus.Fields{"era": at.Era(), "revision": at.Number()}
}

func (r *Replica) watch(ctx context.Context, after store.Revision) (store.Batch, error) {
	r.countCall()
	return r.options.KV.Watch(ctx, r.options.Prefix, after)
}

func (r *Replica) countCall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
}

func (r *Replica) list(ctx context.Context) (store.Listing, error) {
	r.countCall()
	return r.options.KV.List(ctx, r.options.Prefix)
}

func (r *Replica) apply(batch store.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applyEvents(batch)
}

// applyEvents requires the lock.
func (r *Replica) applyEvents(batch store.Batch) {
	var changes, recorded []Change
	for _, event := range batch.Events {
		if event.Entry.Revision <= r.revision {
			// A newer snapshot that was copied meanwhile has its effect, also if that is a removed key.
			continue
		}
		change := Change{Entry: event.Entry, Removed: event.Deleted}
		if change.Removed {
			change.Entry.Value = r.items[change.Entry.Key].Value
		}
		known := event.Entry.Revision <= r.items[event.Entry.Key].Revision
		// A listing may have had the item although it is newer than the listing's revision.
		recorded = append(recorded, change)
		if known {
			continue
		}
		if event.Deleted {
			delete(r.items, event.Entry.Key)
		} else {
			r.items[event.Entry.Key] = event.Entry
		}
		changes = append(changes, change)
	}
	if batch.At > r.revision {
		r.revision = batch.At
		r.behindSince = time.Time{}
	}
	r.recordChanges(recorded)
	r.forgetRetained(changes)
	r.rememberRemovals(changes)
	r.notify(changes)
}

// notify requires the lock, so that batches are reported in order.
func (r *Replica) notify(changes []Change) {
	if len(changes) > 0 {
		r.options.Changed(changes)
	}
}
