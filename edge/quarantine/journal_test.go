package quarantine

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against VMs that go on telling of an end after the request was answered, for which the
// others would suspect it anew.
func TestAnswerMakesEndsVoid(t *testing.T) {
	var j BroadcastQueue
	f, other := requestNamed("f"), requestNamed("other")
	j.Add(start, Event{Request: f, Target: 1}, false)
	j.Add(start, Event{Request: f, Target: 2}, true)
	j.Add(start, Event{Request: other, Target: 1}, false)
	if j.Add(start, Event{Request: f, Target: 1}, false) {
		t.Error("the same end is told twice")
	}
	want := []Event{{f, 1}, {f, 2}, {other, 1}}
	if diff := cmp.Diff(want, j.Pending(start, true)); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]Event{{f, 1}, {other, 1}}, j.Pending(start, false)); diff != "" {
		t.Error("to other regions: " + diff)
	}
	j.Suppress(start, f)
	if diff := cmp.Diff([]Event{{other, 1}}, j.Pending(start, true)); diff != "" {
		t.Error("after others told of an answer: " + diff)
	}
	if j.Add(start, Event{Request: f}, false) {
		t.Error("told though others tell it")
	}
}

// Guards against reports that grow with the ends, or that carry old ones.
func TestJournalIsBounded(t *testing.T) {
	var j BroadcastQueue
	for target := range uint64(10 * maxTold) {
		j.Add(start, Event{Request: requestNamed("f"), Target: target + 1}, false)
	}
	if n := len(j.Pending(start, true)); n != maxTold {
		t.Errorf("%d events in one report", n)
	}
	if n := len(j.Pending(start.Add(tellFor+1), true)); n != 0 {
		t.Errorf("%d old events", n)
	}
}
