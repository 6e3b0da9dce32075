package scenario

import (
	"math"
	"testing"
)

// bound holds the worst permitted result of a script for both accounts. The bounds
// are tight, so that regressions show.
type bound struct {
	// lost is the fraction of requests refused or failed.
	lost float64
	// recovery is the recovery time in seconds.
	recovery int
	// headroom is the lowest free fraction of any capacity.
	headroom float64
}

var bounds = map[string]bound{
	"steady":        {0, 0, 0.5},
	"dawn":          {0, 0, 0.04},
	"domain-lost":   {0.0125, 130, 0.15},
	"region-lost":   {0.0325, 290, 0.28},
	"region-back":   {0.0325, 290, 0.28},
	"drain":         {0, 0, 0.15},
	"flapping":      {0.0065, 130, 0.15},
	"lying":         {0.0125, 135, 0.15},
	"poor":          {0.0045, 140, 0.15},
	"leader-lost":   {0.04, 360, 0.28},
	"node-paused":   {0.03, 260, 0.15},
	"lost-in-drain": {0.0125, 180, 0.1},
	"rush-and-loss": {0.0125, 180, 0},
	"stale":         {0, 0, 0.35},
}

// In every scenario no plan exceeds a capacity, no window exceeds the move cap, and
// the result stays within its bound. -v also prints the results of the baselines.
func TestScenarios(t *testing.T) {
	for _, spec := range []*accountSpec{&daehan, &alpenvlies} {
		for _, sc := range scripts {
			t.Run(string(spec.name)+"/"+sc.name, func(t *testing.T) {
				t.Parallel()
				r := run(spec, sc, steeringPolicy)
				t.Log(r.String())
				r.require(t, bounds[sc.name])
				if testing.Verbose() {
					for _, p := range []policy{nearest, static, greedy} {
						other := run(spec, sc, p)
						t.Log(other.String())
					}
				}
			})
		}
	}
}

func (r *result) require(t *testing.T, b bound) {
	const rounding = 1e-6
	if r.peakUtilization > 1+rounding {
		t.Errorf("a plan uses %.4f of a capacity", r.peakUtilization)
	}
	if r.maxMoved > r.moveCap+rounding {
		t.Errorf("%.4f moved in a window, the cap is %.4f", r.maxMoved, r.moveCap)
	}
	if lost := (r.refused + r.failed) / r.offered; lost > b.lost {
		t.Errorf("%.4f of the requests lost, bound %.4f", lost, b.lost)
	}
	if r.recoverySeconds < 0 || r.recoverySeconds > b.recovery {
		t.Errorf("recovery took %d s, bound %d s", r.recoverySeconds, b.recovery)
	}
	if r.headroom < b.headroom-rounding {
		t.Errorf("lowest headroom %.3f, bound %.3f", r.headroom, b.headroom)
	}
}

// recoverySlack is the time in seconds that failure detection and rounding may add to
// the minimum recovery time.
const recoverySlack = 6

// Only the move cap may limit the recovery time: a flow with a given part in failed
// places needs (part / cap - 1) windows. Larger caps are left out because the steps of
// cold places are slower than the cap there.
func TestCapSetsTheTimeOfRecovery(t *testing.T) {
	parts := map[string]float64{"domain-lost": 0.5, "region-lost": 1}
	for _, sc := range scripts {
		part, ok := parts[sc.name]
		if !ok {
			continue
		}
		for _, share := range []float64{0.1, 0.15, 0.2, 0.3} {
			changed := daehan
			changed.moveCap = share
			r := run(&changed, sc, steeringPolicy)
			minimum := (int(math.Ceil(part/share-1e-9)) - 1) * r.window
			t.Logf("cap %.2f: %s", share, r.String())
			if r.maxMoved > share || r.recoverySeconds > minimum+minimum/r.window+recoverySlack {
				t.Errorf("%s at cap %.2f: %.3f moved, recovered after %d s, minimum %d s", sc.name, share, r.maxMoved, r.recoverySeconds, minimum)
			}
		}
	}
}

// Steering must have a lower latency than static weights and fewer refusals in a rush
// than nearest and greedy, and unlike all baselines it keeps the move cap.
func TestBetterThanBaselines(t *testing.T) {
	find := func(name string) script {
		for _, sc := range scripts {
			if sc.name == name {
				return sc
			}
		}
		t.Fatalf("no script %s", name)
		return script{}
	}
	for _, spec := range []*accountSpec{&daehan, &alpenvlies} {
		steady, fixed := run(spec, find("steady"), steeringPolicy), run(spec, find("steady"), static)
		if ratio := steady.latencyMS(50) / fixed.latencyMS(50); ratio > 0.3 {
			t.Errorf("%s: p50 is %.2f of the p50 of static weights", spec.name, ratio)
		}
		rush := run(spec, find("dawn"), steeringPolicy)
		for _, p := range []policy{nearest, greedy} {
			other := run(spec, find("dawn"), p)
			if rush.refused >= other.refused/100 {
				t.Errorf("%s: %.0f requests refused in a rush, %.0f by policy %s", spec.name, rush.refused, other.refused, p.name)
			}
		}
		for _, p := range []policy{nearest, static, greedy} {
			if other := run(spec, find("region-lost"), p); other.maxMoved < 3*other.moveCap {
				t.Errorf("%s: policy %s moves only %.3f in a window", spec.name, p.name, other.maxMoved)
			}
		}
	}
}
