// Package mirror keeps a copy of the store's items on an entry VM. The copy
// follows the store by a watch, or another VM's copy when the store does not
// serve this VM. It is ordered by the store's revision and never goes back.
package mirror

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"strings"
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
	gather = 200 * time.Millisecond
	// firstRetry and lastRetry bound the pause after a failed call; it doubles.
	firstRetry = 100 * time.Millisecond
	lastRetry  = time.Second
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

// Copy is items at a revision: all of them, or those that changed after another one.
type Copy struct {
	At    store.Revision `json:"at"`
	Items []store.Entry  `json:"items"`
	// Partial tells that items and removals bring a copy from After to At.
	Partial bool           `json:"partial,omitempty"`
	After   store.Revision `json:"after,omitempty"`
	Removed []store.Entry  `json:"removed,omitempty"`
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

// CopyAfter returns what changed after a revision, or all items if that is not
// remembered.
func (m *Mirror) CopyAfter(after store.Revision) Copy {
	m.mu.Lock()
	defer m.mu.Unlock()
	if after > 0 && after >= m.recentAfter {
		return m.partial(after)
	}
	c := Copy{At: m.at, Items: make([]store.Entry, 0, len(m.items))}
	for _, entry := range m.items {
		c.Items = append(c.Items, entry)
	}
	return c
}

// partial is called with the lock held.
func (m *Mirror) partial(after store.Revision) Copy {
	c := Copy{At: m.at, Partial: true, After: after}
	for _, change := range m.recent {
		switch {
		case change.Entry.Revision <= after:
		case change.Removed:
			removed := change.Entry
			removed.Value = nil
			c.Removed = append(c.Removed, removed)
		default:
			c.Items = append(c.Items, change.Entry)
		}
	}
	return c
}

// Run follows the store until the context ends.
func (m *Mirror) Run(ctx context.Context) {
	pause := firstRetry
	for ctx.Err() == nil {
		if !m.setWatching(m.options.Watches()) {
			wait.For(ctx, idleLook)
			continue
		}
		changed, err := m.follow(ctx)
		if m.setConnected(err == nil) {
			m.logConnection(err)
		}
		switch {
		case err != nil:
			wait.For(ctx, pause/2+rand.N(pause/2))
			pause = min(2*pause, lastRetry)
		case changed:
			pause = firstRetry
			wait.For(ctx, gather)
		default:
			pause = firstRetry
		}
	}
}

// setWatching reports whether the store is to be asked: by a VM that watches, and
// by any that has no copy yet.
func (m *Mirror) setWatching(watches bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.watching != watches {
		m.options.Logger.WithFields(logrus.Fields{"watches": watches, "revision": m.at}).Info("mirror: duty changed")
	}
	m.watching = watches
	return watches || !m.loaded
}

// setConnected reports whether that is news.
func (m *Mirror) setConnected(now bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
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
func (m *Mirror) follow(ctx context.Context) (changed bool, err error) {
	at, loaded := m.At()
	if !loaded {
		return true, m.list(ctx)
	}
	batch, err := m.options.KV.Watch(ctx, m.options.Prefix, at)
	if err != nil {
		return false, err
	}
	if batch.Reset {
		m.options.Logger.WithField("revision", at).Warn("mirror: the store's history is gone, reading all")
		return true, m.list(ctx)
	}
	m.apply(batch)
	return len(batch.Events) > 0, nil
}

func (m *Mirror) list(ctx context.Context) error {
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

// remember keeps the last changes for other VMs.
func (m *Mirror) remember(changes []Change) {
	m.recent = append(m.recent, changes...)
	if over := len(m.recent) - kept; over > 0 {
		m.recentAfter = m.recent[over-1].Entry.Revision
		m.recent = append(m.recent[:0], m.recent[over:]...)
	}
}

// Adopt takes a copy if it is newer.
func (m *Mirror) Adopt(c Copy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.loaded && c.At <= m.at {
		return
	}
	if !c.Partial {
		m.replace(c)
		return
	}
	if !m.loaded || c.After > m.at {
		return
	}
	batch := store.Batch{At: c.At}
	for _, entry := range c.Removed {
		batch.Events = append(batch.Events, store.Event{Entry: entry, Deleted: true})
	}
	for _, entry := range c.Items {
		batch.Events = append(batch.Events, store.Event{Entry: entry})
	}
	slices.SortStableFunc(batch.Events, func(a, b store.Event) int {
		return cmp.Compare(a.Entry.Revision, b.Entry.Revision)
	})
	m.applyEvents(batch)
}

// replace is called with the lock held.
func (m *Mirror) replace(c Copy) {
	var changes []Change
	present := make(map[string]bool, len(c.Items))
	for _, entry := range c.Items {
		if !strings.HasPrefix(entry.Key, m.options.Prefix) {
			continue
		}
		present[entry.Key] = true
		if entry.Revision > m.items[entry.Key].Revision {
			m.items[entry.Key] = entry
			changes = append(changes, Change{Entry: entry, Listed: true})
		}
	}
	for key, entry := range m.items {
		if !present[key] && entry.Revision <= c.At {
			delete(m.items, key)
			changes = append(changes, Change{Entry: entry, Removed: true, Listed: true})
		}
	}
	m.at = c.At
	m.loaded = true
	m.behindSince = time.Time{}
	// What was removed, and when, is not known of a listing.
	m.recent, m.recentAfter = nil, c.At
	m.tell(changes)
}

// tell is called with the lock held, so that changes are told in order.
func (m *Mirror) tell(changes []Change) {
	if len(changes) > 0 {
		m.options.Changed(changes)
	}
}

// SawPeer tells the revision of another VM's copy. A copy that stays behind is
// brought up to date from there.
//
// Guard against a store that serves the other VMs but not this one, or a watch
// that went silent: it shows as a VM that serves an old configuration. The guard
// holds because revisions are the store's own: a copy with a higher one is newer.
func (m *Mirror) SawPeer(ctx context.Context, peer string, near bool, at store.Revision, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.loaded && at <= m.at {
		// Others may be behind as well; only news of its own ends the delay.
		return
	}
	if m.behindSince.IsZero() {
		m.behindSince = now
	}
	patience := behindFor
	if near && !m.watching {
		patience = 0
	}
	if m.fetching || now.Sub(m.behindSince) < patience {
		return
	}
	m.fetching = true
	go m.fetch(ctx, peer, m.at)
}

func (m *Mirror) fetch(ctx context.Context, peer string, after store.Revision) {
	c, err := m.options.FetchFrom(ctx, peer, after)
	log := m.options.Logger.WithField("peer", peer)
	if err != nil {
		log.WithError(err).Warn("mirror: no copy from a peer")
	} else {
		m.Adopt(c)
		log.WithFields(logrus.Fields{"revision": c.At, "partial": c.Partial, "items": len(c.Items)}).
			Info("mirror: copied from a peer")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fetching = false
	m.behindSince = time.Time{}
}
