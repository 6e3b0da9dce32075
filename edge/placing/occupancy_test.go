package placing

import (
	"testing"
	"time"
)

// Nine requests of 100 ms come for one of a second. A slot that is taken is taken by the
// long one half of the time, so that a short request waits for half a second and not for
// the tenth that its own kind takes.
func TestBusySlotCountsLongRequestsByTheirTime(t *testing.T) {
	var s occupancy
	if got := s.lengthBiasedMean(70 * time.Millisecond); got != 70*time.Millisecond {
		t.Errorf("%v before any answer", got)
	}
	for range 100 {
		for range 9 {
			s.add(100 * time.Millisecond)
		}
		s.add(time.Second)
	}
	if got := s.lengthBiasedMean(0); got < 450*time.Millisecond || got > 700*time.Millisecond {
		t.Errorf("%v, want about 0.57 s", got)
	}
}

// A target of two slots has three long requests in flight. A short request that expected to
// wait for one of its own kind was sent there and came late; a free target that does not
// not warm for its key ends it sooner.
func TestShortRequestDoesNotQueueBehindLongOnes(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newFourTargetBalancer(now, "vm")
	long, short := NewClass(3*time.Second), NewClass(250*time.Millisecond)
	for range 60 {
		d, _ := b.Place(now, keyRequest(now, long, 7))
		b.Done(now, d, long, Answered, 1200*time.Millisecond)
	}
	preferred, _ := b.Place(now, keyRequest(now, short, 9))
	b.Done(now, preferred, short, Answered, 90*time.Millisecond)
	b.SetPeerReport(now, "other", &PeerReport{InFlight: map[uint32]int{TargetKey(preferred.Target.hash): 3}, At: now})
	d, w := b.Place(now, keyRequest(now, short, 9))
	if w != nil || d.Target == preferred.Target {
		t.Errorf("sent to %v behind three long requests, waiter %v", d.Target, w)
	}
}
