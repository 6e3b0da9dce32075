package spread

import (
	"sync"

	"github.com/yuccaroute/yuccaroute/spread/item"
)

// hub is the node's table together with those who wait for its changes.
type hub struct {
	table *item.Table

	// mu covers a change and the marking of all waiters, so that a waiter's
	// digest and its items are always of one cut.
	mu      sync.Mutex
	waiters map[*waiter]struct{}
}

func newHub() *hub {
	return &hub{table: item.NewTable(), waiters: map[*waiter]struct{}{}}
}

// apply offers an item to the table and marks it for all waiters if it is
// later than what was there. The waiter from is left out: it sent the item.
func (h *hub) apply(it item.Item, from *waiter) item.Outcome {
	h.mu.Lock()
	defer h.mu.Unlock()
	outcome := h.table.Apply(it)
	if outcome != item.Applied {
		return outcome
	}
	for w := range h.waiters {
		if w != from {
			w.mark(it.Key)
		}
	}
	return outcome
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
	return items, snap
}
