package memkv

import (
	"strings"

	"github.com/yuccaroute/yuccaroute/store"
)

// history keeps the latest changes for watches, in revision order.
type history struct {
	maxEvents int
	maxBytes  int
	events    []store.Event
	bytes     int
	// compactedAt is the revision of the newest change dropped. A watch from an
	// older revision must be reset, as it would miss changes.
	compactedAt store.Revision
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
	h.compactedAt = oldest.Entry.Revision
}

// since returns the changes under prefix after the given revision; ok is false
// when some of them may have been dropped.
func (h *history) since(prefix string, after store.Revision) (events []store.Event, ok bool) {
	if after < h.compactedAt {
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

// reset drops all changes and sets the compaction revision.
func (h *history) reset(at store.Revision) {
	h.events = nil
	h.bytes = 0
	h.compactedAt = at
}
