package clock

import (
	"testing"
	"time"
)

// fakeMachine simulates a machine that can be suspended. readDelay elapses before each
// clock reading.
type fakeMachine struct {
	start              time.Time
	running, suspended time.Duration
	readDelay          time.Duration
}

func (m *fakeMachine) monotonic() time.Time {
	m.running += m.readDelay
	return m.start.Add(m.running)
}

func (m *fakeMachine) boot() time.Duration {
	m.running += m.readDelay
	return m.running + m.suspended
}

// A deadline that passes during a suspension must have expired at the first reading
// after the machine resumes.
func TestSuspensionIsCounted(t *testing.T) {
	m := &fakeMachine{start: time.Now()}
	c := NewFrom(m.monotonic, m.boot)
	expires := c.Now().Add(15 * time.Second)
	m.running += time.Second
	if !c.Now().Before(expires) {
		t.Fatal("expired while the machine was running")
	}
	m.suspended = time.Hour
	if c.Now().Before(expires) {
		t.Fatal("not expired after the suspension")
	}
	if got := c.Now().Sub(expires.Add(-15 * time.Second)); got != time.Hour+time.Second {
		t.Fatalf("elapsed time is %s, want suspension included", got)
	}
}

// A delay between the two clock readings must not count as a suspension, which would
// make the clock run fast, and the clock must never go back.
func TestDelayBetweenReadingsIsNoSuspension(t *testing.T) {
	m := &fakeMachine{start: time.Now(), readDelay: 40 * time.Millisecond}
	c := NewFrom(m.monotonic, m.boot)
	last := c.Now()
	for i := range 100 {
		m.readDelay = time.Duration(i%7) * 10 * time.Millisecond
		now := c.Now()
		if now.Before(last) || now.Sub(m.start) > m.running {
			t.Fatalf("clock read %s after %s, actual elapsed time %s", now.Sub(m.start), last.Sub(m.start), m.running)
		}
		last = now
	}
}

func BenchmarkNow(b *testing.B) {
	c := New()
	b.ReportAllocs()
	for b.Loop() {
		c.Now()
	}
}
