package exchange

import (
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/site"
)

// Guards against a VM that restarts after its clock was set back, and whose lower incarnation
// makes other VMs drop its datagrams.
func TestLowerIncarnationIsAcceptedAfterRestart(t *testing.T) {
	tracker := make(sequenceTracker)
	begin := time.Now()
	state := func(incarnation, number uint64) State {
		return State{VM: site.VM{Name: "a", Incarnation: incarnation}, Sequence: number}
	}
	steps := []struct {
		what     string
		state    State
		after    time.Duration
		accepted bool
	}{
		{"the first datagram", state(5000, 7), 0, true},
		{"a reordered datagram", state(5000, 6), 10 * time.Millisecond, false},
		{"the next datagram", state(5000, 8), 20 * time.Millisecond, true},
		{"a delayed datagram of an earlier process", state(100, 90), 100 * time.Millisecond, false},
		{"the new process, while datagrams of the old one may still arrive", state(200, 1), 500 * time.Millisecond, false},
		{"the new process", state(200, 4), 20*time.Millisecond + restartGrace, true},
		{"the next datagram of the new process", state(200, 5), 30*time.Millisecond + restartGrace, true},
	}
	for _, step := range steps {
		if got := tracker.accept(step.state, begin.Add(step.after)); got != step.accepted {
			t.Errorf("%s: accepted %v, want %v", step.what, got, step.accepted)
		}
	}
}
