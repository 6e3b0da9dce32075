package steering

import (
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/plan"
)

// simulateColdPlace simulates a place with cold caches. An increase by a tenth of
// its capacity raises P99 to peak times the warm value; the effect decays with the
// time constant warmUp, in seconds.
func simulateColdPlace(peak float64, warmUp int) (final, largest uint32, turns int) {
	a := newAccount(1, 2, 1)
	a.Moves.Share = 1
	in := newInput(a, 0.6)
	place := a.Places[1].Name
	in.Previous = &plan.Plan{Flows: []plan.Flow{{Service: "s0", Caller: "r00", Shares: []plan.Share{{Place: a.Places[0].Name, PPM: plan.Whole}}}}}
	last, rising := uint32(0), true
	cold := 0.0
	tenth := 100.0 / 1200 * plan.Whole
	decisions := simulate(in, 1800, func(in *Input, second int) {
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

// A cold place is loaded in limited steps. It takes no more while it is slow, sheds
// load when it is far slower, and still reaches an even share.
func TestColdPlaceIsRaisedBySteps(t *testing.T) {
	cases := []struct {
		peak         float64
		warmUp       int
		final        uint32
		least, turns int
	}{
		{2.5, 15, 480_000, 0, 0},
		{6, 30, 480_000, 1, 4},
		// Such slow caches do not settle within the simulated half hour.
		{10, 60, 350_000, 1, 12},
	}
	for _, c := range cases {
		final, largest, turns := simulateColdPlace(c.peak, c.warmUp)
		t.Logf("peak %.1f, warm-up %d s: final share %d ppm, largest step %d ppm, %d reversals", c.peak, c.warmUp, final, largest, turns)
		if final < c.final || largest > 100_000 || turns < c.least || turns > c.turns {
			t.Errorf("want a final share of at least %d ppm, steps of at most 100000 ppm and %d to %d reversals", c.final, c.least, c.turns)
		}
	}
}

// A newly configured place without measurements gets a small share only.
func TestUnknownPlaceGetsSmallShare(t *testing.T) {
	a := newAccount(1, 2, 1)
	in := newInput(a, 0.5)
	in.Places = in.Places[:1]
	in.Previous = &plan.Plan{Flows: []plan.Flow{{Service: "s0", Caller: "r00", Shares: []plan.Share{{Place: a.Places[0].Name, PPM: plan.Whole}}}}}
	d := Decide(in)
	if got := shareAt(d.Plan, 0, a.Places[1].Name); got != maxUnknownShare {
		t.Fatalf("unmeasured place got %d ppm, want %d", got, maxUnknownShare)
	}
}
