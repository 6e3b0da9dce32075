package spread

import (
	"sync"

	"github.com/yuccaroute/yuccaroute/api/content"
	"github.com/yuccaroute/yuccaroute/spread/item"
)

// hub is the node's table together with those who wait for its changes.
type hub struct {
	table *item.Table

	// mu covers a change and the marking of all waiters, so that a waiter's
	// digest and its items are always of one cut.
	mu       sync.Mutex
	waiters  map[*waiter]struct{}
	contents *contents
}

func newHub(names func(key string, body []byte) []content.Name) *hub {
	return &hub{table: item.NewTable(), waiters: map[*waiter]struct{}{}, contents: newContents(names)}
}

// apply offers an item to the table and marks it for all waiters if it is
// later than what was there. The waiter from is left out: it sent the item.
func (h *hub) apply(it item.Item, from *waiter) item.Outcome {
	h.mu.Lock()
	defer h.mu.Unlock()
	if content.IsKey(it.Key) {
		return h.applyContent(it, from)
	}
	if have, found := h.table.Snapshot().Get(it.Key); found && !it.NewerThan(have) {
		return h.table.Apply(it)
	}
	w := h.contents.wait(it, h.contents.needs(it))
	if !w.complete(h.table.Snapshot()) {
		return item.Pending
	}
	h.accept(w, from)
	return item.Applied
}

// applyContent takes content that a waiting state names. All other content is
// refused: it would come back from peers that lag for as long as they do.
func (h *hub) applyContent(it item.Item, from *waiter) item.Outcome {
	if _, held := h.table.Snapshot().Get(it.Key); held {
		return item.Duplicate
	}
	given := h.contents.arrive(it)
	if len(given) == 0 {
		return item.Unreferenced
	}
	outcome := item.Pending
	for _, w := range given {
		if have, found := h.table.Snapshot().Get(w.item.Key); found && !w.item.NewerThan(have) {
			continue
		}
		if w.complete(h.table.Snapshot()) {
			h.accept(w, from)
			outcome = item.Applied
		}
	}
	return outcome
}

// accept puts a state into the table, after the content it names and before the
// content is dropped that nothing names any more: whoever reads the table finds
// the content of the state he sees. Subscribers get the state first, as they
// take content only when they know what for.
func (h *hub) accept(w *waitingItem, from *waiter) {
	h.contents.settle(w.item)
	var before []string
	if have, found := h.table.Snapshot().Get(w.item.Key); found {
		before = h.contents.needs(have)
	}
	changed := []string{w.item.Key}
	for _, key := range w.needs {
		if it, ok := w.arrived[key]; ok && h.table.Apply(it) == item.Applied {
			changed = append(changed, key)
		}
	}
	h.table.Apply(w.item)
	for _, key := range h.contents.replace(before, w.needs) {
		h.table.Remove(key)
	}
	for waiter := range h.waiters {
		if waiter != from {
			waiter.mark(changed...)
		}
	}
}

// lacksContent reports whether a state waits for content.
func (h *hub) lacksContent() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.contents.waiting) > 0
}

// arrivedIn returns the content of one bucket that is here and not yet in the
// table.
func (h *hub) arrivedIn(bucket int) []item.Item {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.contents.arrivedIn(bucket)
}

// wait adds a waiter, which gets what changes from now on.
func (h *hub) wait() *waiter {
	w := newWaiter()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waiters[w] = struct{}{}
	return w
}

func (h *hub) leave(w *waiter) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.waiters, w)
}

// take empties the waiter and returns its items as they are now, and the
// snapshot of the same cut.
func (h *hub) take(w *waiter) ([]item.Item, *item.Snapshot) {
	h.mu.Lock()
	keys := w.keys
	w.keys = nil
	clear(w.marked)
	snap := h.table.Snapshot()
	h.mu.Unlock()
	items := make([]item.Item, 0, len(keys))
	for _, key := range keys {
		if it, ok := snap.Get(key); ok {
			items = append(items, it)
		}
	}
	return contentLast(items), snap
}
