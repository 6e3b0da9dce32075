package workingset

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Within a period each key must be admitted for the same time, the fraction of it.
func TestKeysAreAdmittedEquallyLong(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const steps = 2000
		key, fraction := rapid.Uint64().Draw(t, "key"), rapid.Float64Range(minFraction, 1).Draw(t, "fraction")
		start := rapid.Float64Range(0, 1).Draw(t, "start")
		admitted, entries, before := 0, 0, true
		for i := range steps {
			in := Arc{Start: ahead(0, start+float64(i)/steps), Fraction: fraction}.Admits(key)
			if in {
				admitted++
			}
			if in && !before {
				entries++
			}
			before = in
		}
		if got := float64(admitted) / steps; math.Abs(got-fraction) > 2.0/steps {
			t.Errorf("admitted for %.4f of the time, want %.4f", got, fraction)
		}
		if entries > 1 {
			t.Errorf("the key entered %d times", entries)
		}
	})
}

// A key at the very front of the arc must not count as admitted by its turn and as refused by the arc.
func TestTurnOfKeyAtTheFrontOfTheArc(t *testing.T) {
	a := Arc{Start: 1 - minFraction, Fraction: minFraction}
	if turn := a.Turn(0, time.Minute); a.Admits(0) != (turn == 0) {
		t.Errorf("admitted %v, turn after %v", a.Admits(0), turn)
	}
}

// A key must be admitted at its turn and not much before.
func TestTurnIsWhenTheKeyEnters(t *testing.T) {
	const period = time.Minute
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.Uint64().Draw(t, "key")
		a := Arc{Start: rapid.Float64Range(0, 1).Draw(t, "start"), Fraction: rapid.Float64Range(minFraction, 0.99).Draw(t, "fraction")}
		turn := a.Turn(key, period)
		if a.Admits(key) != (turn == 0) {
			t.Fatalf("admitted %v, turn after %v", a.Admits(key), turn)
		}
		if turn == 0 {
			return
		}
		at := func(d time.Duration) Arc {
			return Arc{Start: ahead(0, a.Start+float64(d)/float64(period)), Fraction: a.Fraction}
		}
		const margin = time.Millisecond
		if !at(turn + margin).Admits(key) {
			t.Errorf("not admitted at its turn, after %v", turn)
		}
		if turn > margin && at(turn-margin).Admits(key) {
			t.Errorf("admitted before its turn, after %v", turn)
		}
	})
}

// A key that was admitted a while ago and is not any more must count as passed exactly if the start went past
// it, whatever the fraction was and is.
func TestPassedKeysWereAdmittedBefore(t *testing.T) {
	const period = time.Minute
	// margin keeps the key away from the start, where rounding decides.
	const margin = 1e-6
	rapid.Check(t, func(t *rapid.T) {
		start, elapsed := rapid.Float64Range(0, 1).Draw(t, "start"), rapid.Int64Range(0, int64(period/2)).Draw(t, "elapsed")
		distance := rapid.Float64Range(margin, 0.4).Draw(t, "distance of the key from the start")
		key := uint64(ahead(0, start+distance)*(1<<53)) << 11
		turned := float64(elapsed) / float64(period)
		if math.Abs(distance-turned) < margin {
			turned, elapsed = 0, 0
		}
		now := Arc{Start: ahead(0, start+turned), Fraction: rapid.Float64Range(minFraction, 0.4).Draw(t, "fraction")}
		if got, want := now.Passed(key, time.Duration(elapsed), period), distance < turned; got != want {
			t.Errorf("passed %v, want %v", got, want)
		}
	})
}

// Less urgent priorities share the last rank, and the account's priority counts first.
func TestRanksAreBounded(t *testing.T) {
	if RankOf(0, 3) >= RankOf(1, 0) || RankOf(0, 0) != 0 || RankOf(-1, -5) != 0 || RankOf(99, 99) != Ranks-1 || RankOf(0, 99) != RankOf(0, 3) {
		t.Error("ranks are out of order")
	}
}
