package targetload

import (
	"math/rand/v2"
	"testing"
	"time"
)

// An answer that is overtaken by a later one, or a pace that another VM learned earlier, must not
// replace what is newer.
func TestOlderStatementsAreIgnored(t *testing.T) {
	var b Belief
	now := time.Unix(1000, 0)
	b.Observe(now, Stated{Running: 3, Slots: 4, Pace: 1}, 0, 4)
	if b.Observe(now.Add(-time.Millisecond), Stated{Running: 9, Slots: 1, Pace: 2}, 0, 4) || b.ObservePace(now.Add(-time.Millisecond), 2) {
		t.Error("an older statement was taken")
	}
	if pace, _, _ := b.Pace(); pace != 1 || b.Others(0) != 2 || b.Slots(4) != 4 {
		t.Errorf("pace %v, %d others, %d slots", pace, b.Others(0), b.Slots(4))
	}
}

// Whether the target counts the request that it answers is not known: neither may change the number of
// the others by more than one, nor make it negative. Fewer requests than this VM's own are no count of the
// others at all.
func TestAnsweredRequestMayCountAsRunning(t *testing.T) {
	for _, c := range []struct{ running, own, reported, want int }{
		{3, 1, 0, 1}, {3, 1, 9, 2}, {3, 1, 2, 2}, {0, 3, 5, 5}, {0, 0, 0, 0},
	} {
		var b Belief
		b.Observe(time.Unix(1000, 0), Stated{Running: c.running, Slots: 4, Pace: 1}, c.own, 4)
		if got := b.Others(c.reported); got != c.want {
			t.Errorf("%+v: %d others", c, got)
		}
	}
}

// observe records statements of machines that are slow for a time, with gaps of 50 to 1,000 ms.
func observe(p *Persistence, slowTime time.Duration) {
	r := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		before, left := 1.0, time.Duration(r.Float64()*float64(slowTime))
		if r.IntN(7) == 0 {
			before = 2.5
		}
		lag := 50*time.Millisecond + time.Duration(r.Float64()*float64(950*time.Millisecond))
		after := before
		if lag > left {
			after = 1
			if r.IntN(7) == 0 {
				after = 2.5
			}
		}
		p.Observe(after)
		p.ObservePair(before, after, lag)
	}
}

// Stale values: how long a pace holds must be learned, whether that is 0.6 s or minutes.
func TestPersistenceIsLearned(t *testing.T) {
	short, long := NewPersistence(), NewPersistence()
	observe(short, 600*time.Millisecond)
	observe(long, time.Hour)
	for _, c := range []struct {
		p         *Persistence
		age       time.Duration
		low, high float64
	}{
		{short, 0, 1, 1}, {short, 300 * time.Millisecond, 0.3, 0.7}, {short, 900 * time.Millisecond, 0, 0.25},
		{long, 300 * time.Millisecond, 0.9, 1}, {long, 900 * time.Millisecond, 0.9, 1}, {long, forgottenAfter, 0, 0},
	} {
		if left := c.p.Left(c.age); left < c.low || left > c.high {
			t.Errorf("%v: %.2f left, want %v to %v", c.age, left, c.low, c.high)
		}
	}
	if f := short.Factor(2.5, 0, 200*time.Millisecond); f < 1.4 || f > 2.2 {
		t.Errorf("work at a slow target takes %.2f times the mean", f)
	}
	if f := short.Factor(2.5, time.Minute, 200*time.Millisecond); f != 1 {
		t.Errorf("a pace of a minute ago counts: %.2f", f)
	}
	if short.IsWorthTelling(2.5, 500*time.Millisecond) || !short.IsWorthTelling(2.5, 0) || short.IsWorthTelling(1, 0) {
		t.Error("slow targets are told for another time than they are slow")
	}
}

// A target that states a far wrong pace must not define the mean: the others would count as fast.
func TestWrongPaceMovesMeanLittle(t *testing.T) {
	for _, wrong := range []float64{0.1, 10} {
		p := NewPersistence()
		for i := range 4000 {
			p.Observe([]float64{1, 1, 1, wrong}[i%4])
		}
		if mean := p.Mean(); mean < 0.8 || mean > 1.6 {
			t.Errorf("one target of four states %v, the mean is %.2f", wrong, mean)
		}
	}
}
