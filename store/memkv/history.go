package memkv

import (
	"strings"

	"github.com/yuccaroute/yuccaroute/store"
)

// history keeps the latest changes in the order of their revisions.
type history struct {
	maxEvents int
	maxBytes  int
	events    []store.Event
	bytes     int
	// forgotten is the revision of the newest change dropped. A watch from
	// an older revision must be told to list again: it would miss changes.
	forgotten store.Revision
}

func (h *history) add(ev store.Event) {
	h.events = append(h.events, ev)
	h.bytes += size(ev)
	for len(h.events) > h.maxEvents || h.bytes > h.maxBytes {
		h.dropOldest()
	}
}

func (h *history) dropOldest() {
	oldest := h.events[0]
	h.events[0] = store.Event{}
	h.events = h.events[1:]
	h.bytes -= size(oldest)
	h.forgotten = oldest.Entry.Revision
}

// since returns the changes under prefix after the revision given; ok is
// false when some of them may be forgotten.
func (h *history) since(prefix string, after store.Revision) (events []store.Event, ok bool) {
	if after < h.forgotten {
		return nil, false
	}
	for i := len(h.events) - 1; i >= 0; i-- {
		ev := h.events[i]
		if ev.Entry.Revision <= after {
			break
		}
		if strings.HasPrefix(ev.Entry.Key, prefix) {
			events = append(events, ev)
		}
	}
	reverse(events)
	return events, true
}

func reverse(events []store.Event) {
	for i, j := 0, len(events)-1; i < j; i, j = i+1, j-1 {
		events[i], events[j] = events[j], events[i]
	}
}

func size(ev store.Event) int {
	return len(ev.Entry.Key) + len(ev.Entry.Value)
}

// clear forgets all changes up to the revision given.
func (h *history) clear(at store.Revision) {
	h.events = nil
	h.bytes = 0
	h.forgotten = at
}
