// Package mirror keeps a copy of the store's items on an entry VM. The copy
// follows the store by a watch, or another VM's copy when the store does not
// serve this VM. It is ordered by the store's revision and never goes back.
package mirror

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
	// to come into force. With 200 ms a day of 81 VMs took 2,573 calls, 2,294 with 400.
	gather = 400 * time.Millisecond
	// firstRetry and lastRetry bound the pause after a failed call; it doubles.
	firstRetry = 100 * time.Millisecond
	lastRetry  = time.Second
	// spareRetry is the longest pause, and the only one, of VMs that watch in place
	// of others that are not answered: in an outage all of a region do. With a pause of
	// at most 1 s they made 846 calls in an outage of 8 s on 81 VMs.
	spareRetry = 3 * time.Second
	// settle is the pause between the first listing and the first watch. Which VMs
	// watch is known once they were heard; before, all would.
	settle = 500 * time.Millisecond
	// behindFor is how long a copy that watches, or hears of a distant VM, may be
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
	// Listed tells that the change was found by comparing whole copies, so that
	// a removal may be the work of an outage.
	Listed bool
}

// Options configure a Mirror.
type Options struct {
	KV     store.KV
	Logger *logrus.Entry
	// Prefix of the keys that are copied.
	Prefix string
	// Changed is called for each batch of changes, in their order, one call at
	// a time.
	Changed func([]Change)
	// FetchFrom reads what another VM's copy has after a revision.
	FetchFrom func(ctx context.Context, peer string, after store.Revision) (Copy, error)
	// Watches reports whether this VM is one of those that watch the store; the
	// others follow them.
	Watches func() bool
	// First reports whether this VM watches while the store answers all, so that
	// the others wait for it.
	First func() bool
}

// Mirror is the copy. It is safe for use by several goroutines.
type Mirror struct {
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
func New(o Options) *Mirror {
	return &Mirror{options: o, items: make(map[string]store.Entry)}
}

// At returns the copy's revision, and false before the first copy.
func (m *Mirror) At() (store.Revision, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.at, m.loaded
}

// Calls returns how many calls were made to the store.
func (m *Mirror) Calls() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// Linked reports whether the copy follows the store itself and is answered.
func (m *Mirror) Linked() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.connected && m.watching
}

// Run follows the store until the context ends.
func (m *Mirror) Run(ctx context.Context) {
	pause := firstRetry
	for ctx.Err() == nil {
		if !m.setWatching(m.options.Watches()) {
			wait.For(ctx, idleLook)
			continue
		}
		found, err := m.followOnce(ctx)
		if m.setConnected(err == nil) {
			m.logConnection(err)
		}
		if err != nil {
			m.setDoubt(true)
			pause = m.retryPause(pause)
			wait.For(ctx, pause/2+rand.N(pause/2))
			pause = min(2*pause, lastRetry)
			continue
		}
		pause = firstRetry
		wait.For(ctx, pauses[found])
	}
}

// followOnce is follow, which Unanswered can end.
func (m *Mirror) followOnce(ctx context.Context) (found, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.mu.Lock()
	m.endCall = cancel
	m.mu.Unlock()
	return m.follow(ctx)
}

// Watching reports whether this VM watches the store.
func (m *Mirror) Watching() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.watching
}

// Unanswered tells that the store did not answer another call of this VM. A watch that
// hangs is ended, so that others learn at once that this VM does not follow the store.
func (m *Mirror) Unanswered() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.watching && m.endCall != nil {
		m.endCall()
	}
}

// retryPause is the pause after a failed call, when the next one in turn is given.
func (m *Mirror) retryPause(next time.Duration) time.Duration {
	if _, loaded := m.At(); loaded && !m.options.First() {
		return spareRetry
	}
	return next
}

// found is what a call to the store brought.
type found int

const (
	foundNothing found = iota
	foundChanges
	foundFirstCopy
)

// pauses are those before the next call.
var pauses = map[found]time.Duration{foundChanges: gather, foundFirstCopy: settle}

// setWatching reports whether the store is to be asked: by a VM that watches, and
// by any that has no copy yet.
func (m *Mirror) setWatching(watches bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.watching != watches {
		m.doubt = watches
		m.options.Logger.WithFields(logrus.Fields{"watches": watches, "revision": m.at}).Info("mirror: duty changed")
	}
	m.watching = watches
	return watches || !m.loaded
}

// setConnected reports whether that is news.
func (m *Mirror) setConnected(now bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	news := m.connected != now
	m.connected = now
	return news
}

func (m *Mirror) logConnection(err error) {
	at, _ := m.At()
	log := m.options.Logger.WithField("revision", at)
	if err != nil {
		log.WithError(err).Warn("mirror: store lost")
		return
	}
	log.Info("mirror: store reached")
}

// follow makes one call: a listing for the first copy, a watch afterwards.
func (m *Mirror) follow(ctx context.Context) (found, error) {
	at, loaded := m.At()
	if !loaded {
		return foundFirstCopy, m.list(ctx)
	}
	if m.inDoubt() {
		return m.check(ctx, at)
	}
	batch, err := m.watch(ctx, at)
	if err != nil {
		return foundNothing, err
	}
	if batch.Reset {
		m.options.Logger.WithField("revision", at).Warn("mirror: the store's history is gone, reading all")
		return foundChanges, m.list(ctx)
	}
	if len(batch.Events) == 0 && batch.At > at && m.options.Prefix == "" {
		// There is a change, and a watch of all keys did not bring it.
		m.setDoubt(true)
		return foundNothing, nil
	}
	m.apply(batch)
	if len(batch.Events) == 0 {
		return foundNothing, nil
	}
	return foundChanges, nil
}

func (m *Mirror) watch(ctx context.Context, at store.Revision) (store.Batch, error) {
	m.countCall()
	return m.options.KV.Watch(ctx, m.options.Prefix, at)
}

func (m *Mirror) countCall() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
}

func (m *Mirror) list(ctx context.Context) error {
	m.countCall()
	list, err := m.options.KV.List(ctx, m.options.Prefix)
	if err != nil {
		return err
	}
	m.Adopt(Copy{At: list.At, Items: list.Entries})
	return nil
}

func (m *Mirror) apply(batch store.Batch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyEvents(batch)
}

// applyEvents is called with the lock held.
func (m *Mirror) applyEvents(batch store.Batch) {
	var changes []Change
	for _, event := range batch.Events {
		if event.Entry.Revision <= m.items[event.Entry.Key].Revision {
			continue
		}
		if event.Deleted {
			delete(m.items, event.Entry.Key)
		} else {
			m.items[event.Entry.Key] = event.Entry
		}
		changes = append(changes, Change{Entry: event.Entry, Removed: event.Deleted})
	}
	if batch.At > m.at {
		m.at = batch.At
		m.behindSince = time.Time{}
	}
	m.remember(changes)
	m.tell(changes)
}

// tell is called with the lock held, so that changes are told in order.
func (m *Mirror) tell(changes []Change) {
	if len(changes) > 0 {
		m.options.Changed(changes)
	}
}
