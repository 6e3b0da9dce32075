package placing

import (
	"testing"
	"time"
)

// Long requests must be weighted by the time that they hold a slot, not by their number.
func TestOccupancyIsLengthBiased(t *testing.T) {
	var s occupancy
	if got := s.lengthBiasedMean(70 * time.Millisecond); got != 70*time.Millisecond {
		t.Errorf("%v before the first sample", got)
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

// A short request must prefer a free cold target to its warm one if that is busy with long
// requests.
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
		t.Errorf("short request was sent to %v behind three long ones, waiter %v", d.Target, w)
	}
}
