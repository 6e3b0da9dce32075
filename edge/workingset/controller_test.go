package workingset

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// measured returns the load of one rank whose runs take mean, as seen while f was admitted.
func measured(slots, arrivals float64, mean time.Duration) *Measured {
	m := &Measured{Slots: slots}
	m.Ranks[0] = Load{Arrivals: arrivals, Answered: 20, Busy: 20 * mean, Shortest: 450 * time.Millisecond}
	return m
}

// stepsUntil steps until the fraction of rank 0 is in a range, and returns the time that it took. load
// returns what is measured if arrivals are those of a fraction.
func stepsUntil(t *testing.T, f *Fractions, load func(fraction float64) *Measured, low, high float64) time.Duration {
	t.Helper()
	c := NewController(*f)
	// Measured arrivals follow the fraction with the time constant of the meter.
	seen, weight := f[0], 1-math.Exp(-StepInterval.Seconds()/TimeConstant.Seconds())
	for i := range 200 {
		if f[0] >= low && f[0] <= high {
			return time.Duration(i) * StepInterval
		}
		before := f[0]
		seen += weight * (f[0] - seen)
		*f, _ = c.Step(*f, load(seen))
		if f[0] < maxShrink*before-1e-9 {
			t.Fatalf("fell from %.3f to %.3f in a step", before, f[0])
		}
	}
	t.Fatalf("fraction %.3f, want %.2f to %.2f", f[0], low, high)
	return 0
}

// Ten times the usual load must be down to what fits within seconds, and all keys admitted again soon
// after it.
func TestFractionFollowsLoad(t *testing.T) {
	f := AllAdmitted()
	surge := func(fraction float64) *Measured { return measured(144, 1500*fraction, 900*time.Millisecond) }
	if took := stepsUntil(t, &f, surge, 0.05, 0.11); took > 5*time.Second {
		t.Errorf("shrank within %v", took)
	}
	calm := func(fraction float64) *Measured { return measured(144, 100*fraction, 500*time.Millisecond) }
	if took := stepsUntil(t, &f, calm, 1, 1); took > 20*time.Second {
		t.Errorf("grew within %v", took)
	}
	if next, _ := NewController(f).Step(f, calm(1)); next.Limits() {
		t.Error("limited though the work fits")
	}
}

// While the work fits, or without any, no key may be refused.
func TestNothingIsLimitedWhileWorkFits(t *testing.T) {
	f := AllAdmitted()
	for _, m := range []*Measured{measured(144, 100, 1400*time.Millisecond), measured(144, 300, 460*time.Millisecond), {Slots: 144}, {}} {
		if next, _ := NewController(f).Step(f, m); next.Limits() {
			t.Errorf("limited to %.2f by %+v", next.Lowest(), m.Ranks[0])
		}
	}
}

// The most urgent rank gets capacity first.
func TestUrgentRankIsServedFirst(t *testing.T) {
	f, c := AllAdmitted(), NewController(AllAdmitted())
	for range 40 {
		m := &Measured{Slots: 100}
		for rank := range 3 {
			m.Ranks[rank] = Load{Arrivals: 60 * f[rank], Answered: 60 * f[rank], Busy: time.Duration(60 * f[rank] * float64(time.Second)), Shortest: 300 * time.Millisecond}
		}
		f, _ = c.Step(f, m)
	}
	if f[0] != 1 || f[1] < 0.3 || f[1] > 0.55 || f[2] > 2*minFraction {
		t.Errorf("ranks admit %.2f, %.2f and %.2f", f[0], f[1], f[2])
	}
}

// Targets that answer nothing must get fewer keys, and what other requests hold is not available.
func TestHungTargetsAndOtherRequestsShrinkTheSet(t *testing.T) {
	hung := &Measured{Slots: 100}
	hung.Ranks[0] = Load{Arrivals: 50, Busy: 150 * time.Second}
	f := AllAdmitted()
	if next, _ := NewController(f).Step(f, hung); next[0] >= 1 {
		t.Error("not shrunk though no run is answered")
	}
	others := measured(144, 100, 1200*time.Millisecond)
	others.Others = 100
	if next, _ := NewController(f).Step(f, others); next[0] >= 1 {
		t.Error("not shrunk though other requests hold the slots")
	}
}

// Whatever is measured, fractions stay between the least one and 1.
func TestFractionsStayInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, c := AllAdmitted(), NewController(AllAdmitted())
		number := rapid.Float64Range(0, 1e6)
		for range 10 {
			m := &Measured{Slots: number.Draw(t, "slots"), Others: number.Draw(t, "others")}
			for rank := range m.Ranks {
				m.Ranks[rank] = Load{
					Arrivals: number.Draw(t, "arrivals"), Answered: number.Draw(t, "answered"),
					Busy:     time.Duration(number.Draw(t, "busy") * float64(time.Second)),
					Shortest: time.Duration(number.Draw(t, "shortest") * float64(time.Microsecond)),
				}
			}
			f, _ = c.Step(f, m)
			for rank, fraction := range f {
				if !(fraction >= minFraction && fraction <= 1) {
					t.Fatalf("rank %d admits %v", rank, fraction)
				}
			}
		}
	})
}

// The meter must show rates per second, and the time of warm runs where one in three is warm.
func TestMeter(t *testing.T) {
	var m Meter
	now := time.Unix(1000, 0)
	for i := range 1000 {
		now = now.Add(20 * time.Millisecond)
		m.Arrived(now)
		m.Started()
		took := 1500 * time.Millisecond
		if i%3 == 0 {
			took = 450 * time.Millisecond
		}
		m.Ended(now, i%5 > 0, took)
	}
	l := m.Load(now)
	if l.Arrivals < 48 || l.Arrivals > 52 || l.Answered < 38 || l.Answered > 42 || l.Busy < 52*time.Second || l.Busy > 63*time.Second {
		t.Errorf("measured %+v", l)
	}
	if l.Shortest < 450*time.Millisecond || l.Shortest > 650*time.Millisecond || l.InFlight != 0 {
		t.Errorf("shortest runs %v, %d in flight", l.Shortest, l.InFlight)
	}
}
