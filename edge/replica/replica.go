// Package mirror keeps a copy of the store's items on an entry VM. The copy
// follows the store by a watch, or another VM's copy when the store does not
// serve this VM. It is ordered by the store's revision and never goes back.
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
	// gather is the pause between a change and the next watch. Changes that come
	// together are then one call: a call has a price, and a change has seconds
	// to come into force.
	gather = 400 * time.Millisecond
	// standbyGather is the same for VMs that watch behind a first one, whose changes they
	// copy meanwhile: it is shorter than the time in which targets must get nothing more
	// after they have left.
	standbyGather = 1200 * time.Millisecond
	// firstRetry and lastRetry bound the pause after a failed call; it doubles.
	firstRetry = 100 * time.Millisecond
	lastRetry  = time.Second
	// spareRetry is the longest pause, and the only one, of VMs that watch in place
	// of others that are not answered: in an outage all of a region do.
	spareRetry = 3 * time.Second
	// settle is the pause between the first listing and the first watch. Which VMs
	// watch is known once their reports came; before, all would.
	settle = 500 * time.Millisecond
	// behindFor is how long a copy that watches, or gets reports of a distant VM, may be
	// behind before it is brought up to date from there: its own watch, or a VM
	// nearby, mostly is as quick.
	behindFor = 300 * time.Millisecond
	// idleLook is how often a copy that does not watch looks whether it should.
	idleLook = 200 * time.Millisecond
	// kept is how many changes are remembered for others that are behind: some
	// minutes' worth on an ordinary day.
	kept = 512
)

// Change is one item that was written or removed.
type Change struct {
	Entry   store.Entry
	Removed bool
	// FromSnapshot tells that the change was found by comparing whole copies, so that
	// a removal may be the work of an outage.
	FromSnapshot bool
}

// Options configure a Replica.
type Options struct {
	KV     store.KV
	Logger *logrus.Entry
	// Prefix of the keys that are copied.
	Prefix string
	// Changed is called for each batch of changes, in their order, one call at
	// a time.
	Changed func([]Change)
	// FetchSnapshot reads what another VM's copy has after a revision.
	FetchSnapshot func(ctx context.Context, peer string, after store.Revision) (Snapshot, error)
	// ShouldWatch reports whether this VM is one of those that watch the store; the
	// others follow them.
	ShouldWatch func() bool
	// IsWatchLeader reports whether this VM is the first of those that watch. The others only
	// take over when it is not answered.
	IsWatchLeader func() bool
	// IsDefaultWatcher reports whether this VM watches while the store answers all, so that
	// the others wait for it.
	IsDefaultWatcher func() bool
}

// Replica is the copy. It is safe for use by several goroutines.
type Replica struct {
	options Options

	mu     sync.Mutex
	at     store.Revision
	items  map[string]store.Entry
	loaded bool
	// connected tells whether the last call to the store was answered.
	connected bool
	watching  bool
	calls     uint64
	// behindSince is when another VM was first seen to be ahead; zero if none is.
	behindSince time.Time
	fetching    bool
	// endCall ends the call to the store that is under way.
	endCall context.CancelFunc
	// doubt tells that changes may have been missed: the last call failed, or this VM
	// has not watched lately.
	doubt bool
	// recent are the last changes, all of those after recentAfter.
	recent      []Change
	recentAfter store.Revision
}

// New returns an empty mirror.
func New(o Options) *Replica {
	return &Replica{options: o, items: make(map[string]store.Entry)}
}

// Revision returns the copy's revision, and false before the first copy.
func (r *Replica) Revision() (store.Revision, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.at, r.loaded
}

// Calls returns how many calls were made to the store.
func (r *Replica) Calls() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls
}

// Connected reports whether the copy follows the store itself and is answered.
func (r *Replica) Connected() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.connected && r.watching
}

// Run follows the store until the context ends.
func (r *Replica) Run(ctx context.Context) {
	pause := firstRetry
	for ctx.Err() == nil {
		if !r.setWatching(r.options.ShouldWatch()) {
			wait.For(ctx, idleLook)
			continue
		}
		found, err := r.followOnce(ctx)
		if r.setConnected(err == nil) {
			r.logConnection(err)
		}
		if err != nil {
			r.setDoubt(true)
			pause = r.retryPause(pause)
			wait.For(ctx, pause/2+rand.N(pause/2))
			pause = min(2*pause, lastRetry)
			continue
		}
		pause = firstRetry
		wait.For(ctx, r.pauseAfter(found))
	}
}

// followOnce is follow, which CancelWatch can end.
func (r *Replica) followOnce(ctx context.Context) (found, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.mu.Lock()
	r.endCall = cancel
	r.mu.Unlock()
	return r.follow(ctx)
}

// Watching reports whether this VM watches the store.
func (r *Replica) Watching() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.watching
}

// CancelWatch tells that the store did not answer another call of this VM. A watch that
// hangs is ended, so that others learn at once that this VM does not follow the store.
func (r *Replica) CancelWatch() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.watching && r.endCall != nil {
		r.endCall()
	}
}

// retryPause is the pause after a failed call, when the next one in turn is given.
func (r *Replica) retryPause(next time.Duration) time.Duration {
	if _, loaded := r.Revision(); loaded && !r.options.IsDefaultWatcher() {
		return spareRetry
	}
	return next
}

// found is what a call to the store brought.
type found int

const (
	foundNothing found = iota
	foundChanges
	foundFirstSnapshot
)

// pauseAfter is the pause before the next call.
func (r *Replica) pauseAfter(f found) time.Duration {
	switch {
	case f == foundFirstSnapshot:
		return settle
	case f == foundChanges && r.options.IsWatchLeader():
		return gather
	case f == foundChanges:
		return standbyGather
	}
	return 0
}

// setWatching reports whether the store is to be asked: by a VM that watches, and
// by any that has no copy yet.
func (r *Replica) setWatching(watches bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.watching != watches {
		r.doubt = watches
		r.options.Logger.WithFields(logrus.Fields{"watches": watches, "revision": r.at}).Info("replica: role changed")
	}
	r.watching = watches
	return watches || !r.loaded
}

// setConnected reports whether that is news.
func (r *Replica) setConnected(now bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	news := r.connected != now
	r.connected = now
	return news
}

func (r *Replica) logConnection(err error) {
	at, _ := r.Revision()
	log := r.options.Logger.WithField("revision", at)
	if err != nil {
		log.WithError(err).Warn("replica: store lost")
		return
	}
	log.Info("replica: store reached")
}

// follow makes one call: a listing for the first copy, a watch afterwards. The first copy
// may be stale: each VM reads one at its start, all VMs at once after a loss of power, and
// the next report of a VM that is ahead brings it up to date.
func (r *Replica) follow(ctx context.Context) (found, error) {
	at, loaded := r.Revision()
	if !loaded {
		return foundFirstSnapshot, r.list(store.AllowStale(ctx))
	}
	if r.inDoubt() {
		return r.check(ctx, at)
	}
	batch, err := r.watch(ctx, at)
	if err != nil {
		return foundNothing, err
	}
	if batch.Reset {
		r.options.Logger.WithField("revision", at).Warn("replica: the store's history is gone")
		return foundChanges, r.readAll(ctx)
	}
	if len(batch.Events) == 0 && batch.At > at && r.options.Prefix == "" {
		// There is a change, and a watch of all keys did not bring it.
		r.setDoubt(true)
		return foundNothing, nil
	}
	r.apply(batch)
	if len(batch.Events) == 0 {
		return foundNothing, nil
	}
	return foundChanges, nil
}

// readAll lists the store after its changes were not to be had. A VM that watches behind
// a first one copies from there what that one reads: a listing takes several calls.
func (r *Replica) readAll(ctx context.Context) error {
	if !r.options.IsWatchLeader() {
		return nil
	}
	return r.list(ctx)
}

func (r *Replica) watch(ctx context.Context, at store.Revision) (store.Batch, error) {
	r.countCall()
	return r.options.KV.Watch(ctx, r.options.Prefix, at)
}

func (r *Replica) countCall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
}

func (r *Replica) list(ctx context.Context) error {
	r.countCall()
	list, err := r.options.KV.List(ctx, r.options.Prefix)
	if err != nil {
		return err
	}
	r.ApplySnapshot(Snapshot{At: list.At, Items: list.Entries})
	return nil
}

func (r *Replica) apply(batch store.Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applyEvents(batch)
}

// applyEvents is called with the lock held.
func (r *Replica) applyEvents(batch store.Batch) {
	var changes []Change
	for _, event := range batch.Events {
		if event.Entry.Revision <= r.items[event.Entry.Key].Revision {
			continue
		}
		if event.Deleted {
			delete(r.items, event.Entry.Key)
		} else {
			r.items[event.Entry.Key] = event.Entry
		}
		changes = append(changes, Change{Entry: event.Entry, Removed: event.Deleted})
	}
	if batch.At > r.at {
		r.at = batch.At
		r.behindSince = time.Time{}
	}
	r.remember(changes)
	r.tell(changes)
}

// tell is called with the lock held, so that changes are told in order.
func (r *Replica) tell(changes []Change) {
	if len(changes) > 0 {
		r.options.Changed(changes)
	}
}
