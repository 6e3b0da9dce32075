package clock

import (
	"testing"
	"time"
)

// fakeMachine can be suspended: its steady clock stands still meanwhile. late
// passes between any two readings.
type fakeMachine struct {
	began         time.Time
	running, away time.Duration
	late          time.Duration
}

func (m *fakeMachine) steady() time.Time {
	m.running += m.late
	return m.began.Add(m.running)
}

func (m *fakeMachine) boot() time.Duration {
	m.running += m.late
	return m.running + m.away
}

// A VM is suspended for an hour with a surplus of 15 s and resumed. Its clock
// must show the expiry at the first reading, before any timer has run.
func TestSuspensionIsCounted(t *testing.T) {
	m := &fakeMachine{began: time.Now()}
	c := newClock(m.steady, m.boot)
	expires := c.Now().Add(15 * time.Second)
	m.running += time.Second
	if !c.Now().Before(expires) {
		t.Fatal("expired while the machine was running")
	}
	m.away = time.Hour
	if c.Now().Before(expires) {
		t.Fatal("not expired after the suspension")
	}
	if got := c.Now().Sub(expires.Add(-15 * time.Second)); got != time.Hour+time.Second {
		t.Fatalf("%s passed", got)
	}
}

// A busy machine lets time pass between two readings. That is no suspension:
// the clock would run ahead of that of the other nodes, and surplus would end
// early. Nor may it go back.
func TestDelayBetweenReadingsIsNoSuspension(t *testing.T) {
	m := &fakeMachine{began: time.Now(), late: 40 * time.Millisecond}
	c := newClock(m.steady, m.boot)
	last := c.Now()
	for i := range 100 {
		m.late = time.Duration(i%7) * 10 * time.Millisecond
		now := c.Now()
		if now.Before(last) || now.Sub(m.began) > m.running {
			t.Fatalf("read %s after %s, %s passed", now.Sub(m.began), last.Sub(m.began), m.running)
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
