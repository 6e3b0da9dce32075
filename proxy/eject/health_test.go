package eject

import (
	"testing"
	"time"
)

type fixedGuard bool

func (g fixedGuard) MayEject() bool { return bool(g) }

const second = int64(time.Second)

// A failing target must be ejected once and then ramp up to full weight.
func TestEjectionAndGradualReturn(t *testing.T) {
	h := NewHealth(-int64(RampDuration))
	if h.Weight(0) != 1 {
		t.Fatalf("weight %f", h.Weight(0))
	}
	ejected := 0
	for range maxConsecutiveFailures {
		if h.RecordFailure(0, fixedGuard(true)) {
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

// Ejections must last longer each time, until the target has served requests for a
// whole ramp.
func TestRepeatedEjectionsLastLonger(t *testing.T) {
	h := NewHealth(0)
	now, last := int64(0), int64(0)
	for i := range maxDoublings + 2 {
		fail(h, now)
		duration := h.ejectedUntil.Load() - now
		if i <= maxDoublings && duration <= last {
			t.Fatalf("ejection %d lasts %d after %d", i, duration, last)
		}
		last = duration
		now = h.ejectedUntil.Load()
	}
	now += int64(RampDuration)
	h.RecordSuccess(now)
	fail(h, now)
	if duration := h.ejectedUntil.Load() - now; duration != int64(initialEjection) {
		t.Fatalf("ejected for %d after a successful ramp", duration)
	}
}

func fail(h *Health, now int64) {
	for !h.RecordFailure(now, fixedGuard(true)) {
	}
}

// A high failure rate must eject a target without consecutive failures.
func TestFailureRateEjects(t *testing.T) {
	h := NewHealth(0)
	for range 100 {
		h.RecordSuccess(0)
		if h.RecordFailure(0, fixedGuard(true)) {
			t.Fatal("ejected below the failure rate limit")
		}
		if h.RecordFailure(0, fixedGuard(true)) {
			return
		}
	}
	t.Fatal("never ejected")
}

func TestGuardPreventsEjection(t *testing.T) {
	h := NewHealth(0)
	for range 100 {
		if h.RecordFailure(0, fixedGuard(false)) {
			t.Fatal("ejected against the guard")
		}
	}
}
