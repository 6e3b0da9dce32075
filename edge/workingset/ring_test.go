package workingset

import (
	"testing"
	"time"
)

// Guards against two faults: the arcs of a decider that has started anew are ignored for ever, and an old
// copy of the last decision undoes the growth of a VM that receives none.
func TestNumbersOfSameDecider(t *testing.T) {
	half := AllAdmitted()
	half[0] = 0.5
	message := func(number uint64) Message {
		return Message{Region: "a", Decider: "vm-0", Number: number, Scopes: map[ScopeID]Fractions{1: half}}
	}
	for _, c := range []struct {
		name     string
		silence  time.Duration
		number   uint64
		accepted bool
	}{
		{"the next number", time.Second, 11, true},
		{"a late message", time.Second, 9, false},
		{"a restarted decider", unguidedAfter + time.Second, 1, true},
		{"the same number", unguidedAfter + time.Second, 10, false},
	} {
		now := time.Unix(1000, 0)
		r := NewRing("a", time.Minute, now)
		if !r.Accept(now, "vm-1", message(10)) {
			t.Fatal("the first message was not accepted")
		}
		if got := r.Accept(now.Add(c.silence), "vm-1", message(c.number)); got != c.accepted {
			t.Errorf("%s: accepted %v", c.name, got)
		}
	}
}
