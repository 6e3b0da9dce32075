package eject

import (
	"testing"
	"time"
)

type always bool

func (a always) MayEject() bool { return bool(a) }

const second = int64(time.Second)

// A target fails all its requests fast while its health endpoint says fine. It
// gets no work for a while, then little, then its share again.
func TestEjectionAndGradualReturn(t *testing.T) {
	h := NewHealth(-int64(RampDuration))
	if h.Weight(0) != 1 {
		t.Fatalf("weight %f", h.Weight(0))
	}
	ejected := 0
	for range failuresInARow {
		if h.RecordFailure(0, always(true)) {
			ejected++
		}
	}
	if ejected != 1 || h.Weight(0) != 0 || h.Weight(second-1) != 0 {
		t.Fatalf("ejected %d times, weight %f", ejected, h.Weight(0))
	}
	last := 0.0
	for at := second; at <= second+int64(RampDuration); at += second {
		w := h.Weight(at)
		if w <= last || w > 1 {
			t.Fatalf("weight %f after %f", w, last)
		}
		last = w
	}
	if last != 1 {
		t.Fatalf("weight %f at the end of the ramp", last)
	}
}

// A target that comes and goes is kept out longer each time; once it has served
// well for a whole ramp that is forgotten.
func TestRepeatedEjectionsLastLonger(t *testing.T) {
	h := NewHealth(0)
	now, last := int64(0), int64(0)
	for i := range maxDoublings + 2 {
		fail(h, now)
		out := h.until.Load() - now
		if i <= maxDoublings && out <= last {
			t.Fatalf("ejection %d lasts %d after %d", i, out, last)
		}
		last = out
		now = h.until.Load()
	}
	now += int64(RampDuration)
	h.RecordSuccess(now)
	fail(h, now)
	if out := h.until.Load() - now; out != int64(firstEjection) {
		t.Fatalf("ejected for %d after a good time", out)
	}
}

func fail(h *Health, now int64) {
	for !h.RecordFailure(now, always(true)) {
	}
}

// A target fails every other request. No long run of failures shows it, the
// share does.
func TestFailureShareEjects(t *testing.T) {
	h := NewHealth(0)
	for range 100 {
		h.RecordSuccess(0)
		if h.RecordFailure(0, always(true)) {
			t.Fatal("half of the requests is not yet over the limit")
		}
		if h.RecordFailure(0, always(true)) {
			return
		}
	}
	t.Fatal("never ejected")
}

func TestGuardHoldsEjectionBack(t *testing.T) {
	h := NewHealth(0)
	for range 100 {
		if h.RecordFailure(0, always(false)) {
			t.Fatal("ejected against the guard")
		}
	}
}
