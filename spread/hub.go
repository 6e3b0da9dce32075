package spread

import (
	"sync"

	"github.com/yuccaroute/yuccaroute/api/content"
	"github.com/yuccaroute/yuccaroute/spread/item"
)

// hub holds the node's table and the queues of its subscribers.
type hub struct {
	table *item.Table

	// mu makes a change and its queueing atomic, so that a subscriber's digest
	// and items come from the same snapshot.
	mu       sync.Mutex
	queues   map[*changeQueue]struct{}
	contents *contents
}

func newHub(contentNames func(key string, body []byte) []content.Name) *hub {
	return &hub{table: item.NewTable(), queues: map[*changeQueue]struct{}{}, contents: newContents(contentNames)}
}

// apply adds an item that is newer than the current state and queues it for all
// subscribers except from, which sent it.
func (h *hub) apply(it item.Item, from *changeQueue) item.Outcome {
	h.mu.Lock()
	defer h.mu.Unlock()
	if content.IsKey(it.Key) {
		return h.applyContent(it, from)
	}
	if have, found := h.table.Snapshot().Get(it.Key); found && !it.NewerThan(have) {
		return h.table.Apply(it)
	}
	p := h.contents.addPending(it, h.contents.contentKeys(it))
	if !p.complete(h.table.Snapshot()) {
		return item.Pending
	}
	h.accept(p, from)
	return item.Applied
}

// applyContent accepts content that a pending state references. Other content
// is refused, because outdated peers would keep sending content that was
// removed.
func (h *hub) applyContent(it item.Item, from *changeQueue) item.Outcome {
	if _, held := h.table.Snapshot().Get(it.Key); held {
		return item.Duplicate
	}
	updated := h.contents.addContent(it)
	if len(updated) == 0 {
		return item.Unreferenced
	}
	outcome := item.Pending
	for _, p := range updated {
		if have, found := h.table.Snapshot().Get(p.item.Key); found && !p.item.NewerThan(have) {
			continue
		}
		if p.complete(h.table.Snapshot()) {
			h.accept(p, from)
			outcome = item.Applied
		}
	}
	return outcome
}

// accept stores content before the state that references it, and removes
// unreferenced content afterwards, so that readers of the table always find a
// state's content. Subscribers get the state first, because they refuse
// unreferenced content.
func (h *hub) accept(p *pendingItem, from *changeQueue) {
	h.contents.removeUpTo(p.item)
	var before []string
	if have, found := h.table.Snapshot().Get(p.item.Key); found {
		before = h.contents.contentKeys(have)
	}
	changed := []string{p.item.Key}
	for _, key := range p.contentKeys {
		if it, ok := p.received[key]; ok && h.table.Apply(it) == item.Applied {
			changed = append(changed, key)
		}
	}
	h.table.Apply(p.item)
	for _, key := range h.contents.updateReferences(before, p.contentKeys) {
		h.table.Remove(key)
	}
	for queue := range h.queues {
		if queue != from {
			queue.add(changed...)
		}
	}
}

// lacksContent reports whether any state is pending.
func (h *hub) lacksContent() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.contents.pending) > 0
}

// receivedIn returns received content of one bucket that is not in the table
// yet.
func (h *hub) receivedIn(bucket int) []item.Item {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.contents.receivedIn(bucket)
}

// subscribe returns a queue that receives all further changes.
func (h *hub) subscribe() *changeQueue {
	q := newChangeQueue()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.queues[q] = struct{}{}
	return q
}

func (h *hub) unsubscribe(q *changeQueue) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.queues, q)
}

// take drains the queue and returns the current state of its keys and the
// snapshot they come from.
func (h *hub) take(q *changeQueue) ([]item.Item, *item.Snapshot) {
	h.mu.Lock()
	keys := q.keys
	q.keys = nil
	clear(q.queued)
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
