package quarantine

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against broadcasting a crash after the request was answered, so that other VMs suspect it
// again.
func TestAnswerRemovesCrashes(t *testing.T) {
	q := newJournal()
	f, other := requestNamed("f"), requestNamed("other")
	q.Add(start, Event{Request: f, Target: 1}, false)
	q.Add(start, Event{Request: f, Target: 2}, true)
	q.Add(start, Event{Request: other, Target: 1}, false)
	if q.Add(start, Event{Request: f, Target: 1}, false) {
		t.Error("the same crash is queued twice")
	}
	want := []Event{{f, 1}, {f, 2}, {other, 1}}
	if diff := cmp.Diff(want, q.Pending(start, true)); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]Event{{f, 1}, {other, 1}}, q.Pending(start, false)); diff != "" {
		t.Error("to other regions: " + diff)
	}
	q.Suppress(start, Event{Request: f})
	if diff := cmp.Diff([]Event{{other, 1}}, q.Pending(start, true)); diff != "" {
		t.Error("after another VM broadcast an answer: " + diff)
	}
	if q.Add(start, Event{Request: f}, false) {
		t.Error("queued though other VMs broadcast it")
	}
}
