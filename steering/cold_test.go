package steering

import (
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/plan"
)

// coldRun follows a place with empty caches: an increase by a tenth of its
// capacity makes its P99 peak times the warm one, a smaller one less, and it
// falls by a part in each second of the time given.
func coldRun(peak float64, warmUp int) (final, largest uint32, turns int) {
	a := accountOf(1, 2, 1)
	a.Moves.Share = 1
	in := inputOf(a, 0.6)
	place := a.Places[1].Name
	in.Previous = &plan.Plan{Flows: []plan.Flow{{Service: "s0", Caller: "r00", Shares: []plan.Share{{Place: a.Places[0].Name, PPM: plan.Whole}}}}}
	last, rising := uint32(0), true
	cold := 0.0
	tenth := 100.0 / 1200 * plan.Whole
	decisions := follow(in, 1800, func(in *Input, second int) {
		share := shareAt(in.Previous, 0, place)
		if share > last {
			cold += float64(share - last)
			largest = max(largest, share-last)
		}
		if share != last && (share > last) != rising {
			rising = share > last
			turns++
		}
		last = share
		stateOf(in, place).P99 = time.Duration(20 * (1 + (peak-1)*cold/tenth) * float64(time.Millisecond))
		cold -= cold / float64(warmUp)
	})
	return shareAt(decisions[len(decisions)-1].Plan, 0, place), largest, turns
}

// Dealers time out in a region that has just taken over, because its caches
// are cold and the next increase comes before the last one is seen to be
// digested. Work must come by steps of a tenth of the place, wait while the
// place is slow, go back when it is far slower, and still end evenly spread.
// A place that warms up in time is never turned back.
func TestColdPlaceIsRaisedBySteps(t *testing.T) {
	cases := []struct {
		peak         float64
		warmUp       int
		final        uint32
		least, turns int
	}{
		{2.5, 15, 480_000, 0, 0},
		{6, 30, 480_000, 1, 4},
		// Half an hour is not enough for caches as slow as these.
		{10, 60, 350_000, 1, 12},
	}
	for _, c := range cases {
		final, largest, turns := coldRun(c.peak, c.warmUp)
		t.Logf("peak %.1f, warms in %d s: final %d ppm, largest step %d ppm, %d turns", c.peak, c.warmUp, final, largest, turns)
		if final < c.final || largest > 100_000 || turns < c.least || turns > c.turns {
			t.Errorf("want at least %d ppm by steps of at most 100000 with %d to %d turns", c.final, c.least, c.turns)
		}
	}
}

// Nothing is known of a place that was just configured. It gets a little, to
// be measured, but not a step.
func TestUnknownPlaceGetsLittle(t *testing.T) {
	a := accountOf(1, 2, 1)
	in := inputOf(a, 0.5)
	in.Places = in.Places[:1]
	in.Previous = &plan.Plan{Flows: []plan.Flow{{Service: "s0", Caller: "r00", Shares: []plan.Share{{Place: a.Places[0].Name, PPM: plan.Whole}}}}}
	d := Decide(in)
	if got := shareAt(d.Plan, 0, a.Places[1].Name); got != unknownShare {
		t.Fatalf("unknown place got %d ppm, want %d", got, unknownShare)
	}
}
