package placing

import (
	"testing"
	"time"
)

// All targets of a service refuse half of what they get. A refused request was sent to
// another target, which refuses as often and is cold for its key. Once refusals are seen
// to be everywhere it may stay, and its target is the one that it goes to again.
func TestRefusedRequestStaysWhileAllTargetsRefuse(t *testing.T) {
	now := time.Unix(1000, 0)
	b, class := newFourTargetBalancer(now, "vm"), NewClass(time.Second)
	place := func(key uint64, end Outcome) Decision {
		now = now.Add(10 * time.Millisecond)
		d, w := b.Place(now, keyRequest(now, class, key))
		if w != nil || d.Target == nil {
			t.Fatalf("decision %+v, waiter %v", d, w)
		}
		b.Done(now, d, class, end, 100*time.Millisecond)
		return d
	}
	if d := place(0, Shed); d.FailuresAreWidespread {
		t.Error("one refusal is taken for many")
	}
	for i := range 40 {
		place(uint64(i%8), []Outcome{Answered, Shed}[i%2])
	}
	const key = 100
	first := place(key, Shed)
	second := place(key, Answered)
	if !first.FailuresAreWidespread || second.Target != first.Target {
		t.Errorf("widespread: %v; refused by %s, then sent to %s", first.FailuresAreWidespread, first.Target.ID, second.Target.ID)
	}
	for range 60 {
		place(1, Answered)
	}
	if d := place(1, Answered); d.FailuresAreWidespread {
		t.Error("refusals count long after they ended")
	}
}
