package exchange

import (
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/site"
)

// A VM's time of day is 5 s ahead when it starts. The clock is put right, the VM is killed
// and starts again: its incarnation, a time of day, is now lower than its last one. All
// others took its datagrams for old ones, and sent it no callers, until its clock had
// caught up.
func TestAVMWhoseClockWentBackIsHeard(t *testing.T) {
	o := make(order)
	began := time.Now()
	state := func(incarnation, number uint64) State {
		return State{VM: site.VM{Name: "a", Incarnation: incarnation}, Sequence: number}
	}
	steps := []struct {
		what  string
		state State
		after time.Duration
		news  bool
	}{
		{"the first datagram", state(5000, 7), 0, true},
		{"one that was overtaken", state(5000, 6), 10 * time.Millisecond, false},
		{"the next", state(5000, 8), 20 * time.Millisecond, true},
		{"one of an earlier process, on its way for long", state(100, 90), 100 * time.Millisecond, false},
		{"the new process, while the old one may still be heard", state(200, 1), 500 * time.Millisecond, false},
		{"the new process", state(200, 4), 20*time.Millisecond + staleAfter, true},
		{"the new process goes on", state(200, 5), 30*time.Millisecond + staleAfter, true},
	}
	for _, step := range steps {
		if got := o.isNews(step.state, began.Add(step.after)); got != step.news {
			t.Errorf("%s: news %v, want %v", step.what, got, step.news)
		}
	}
}
