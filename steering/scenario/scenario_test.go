package scenario

import (
	"math"
	"testing"
)

// bound is what a script may come to at worst, for both accounts. It is a
// little above what was measured, so that a change for the worse shows.
type bound struct {
	// lost is the part of the requests refused or failed.
	lost float64
	// recovery is in seconds.
	recovery int
	// headroom is the least part left free at the worst moment.
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

// Whatever happens, alone or two things at once, and whichever decider is in
// office: no plan asks more than a capacity, no window moves more than the cap,
// and callers lose no more than the bounds say. -v prints the figures, those
// of the baselines too.
func TestScenarios(t *testing.T) {
	for _, tenant := range []*tenant{&daehan, &alpenvlies} {
		for _, sc := range scripts {
			t.Run(string(tenant.name)+"/"+sc.name, func(t *testing.T) {
				t.Parallel()
				r := run(tenant, sc, ours)
				t.Log(r.String())
				r.require(t, bounds[sc.name])
				if testing.Verbose() {
					for _, p := range []policy{nearest, static, greedy} {
						other := run(tenant, sc, p)
						t.Log(other.String())
					}
				}
			})
		}
	}
}

func (r *result) require(t *testing.T, b bound) {
	const rounding = 1e-6
	if r.peak > 1+rounding {
		t.Errorf("a plan asks %.4f of a capacity", r.peak)
	}
	if r.movedMost > r.cap+rounding {
		t.Errorf("%.4f moved in a window, the cap is %.4f", r.movedMost, r.cap)
	}
	if lost := (r.refused + r.failed) / r.offered; lost > b.lost {
		t.Errorf("%.4f of the requests lost, bound %.4f", lost, b.lost)
	}
	if r.recovered < 0 || r.recovered > b.recovery {
		t.Errorf("recovery took %d s, bound %d s", r.recovered, b.recovery)
	}
	if r.headroom < b.headroom-rounding {
		t.Errorf("headroom fell to %.3f, bound %.3f", r.headroom, b.headroom)
	}
}

// slack is what seeing a failure, whole seconds and a last rest may add to the
// least time, in seconds.
const slack = 6

// The cap alone sets the time in which refusals end after a failure: a flow
// with a part in places that are lost needs (part / cap - 1) windows. A decision
// that spends the cap on other moves first, or not at once, shows here. At larger
// caps the steps of cold places are slower than the cap.
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
			r := run(&changed, sc, ours)
			least := (int(math.Ceil(part/share-1e-9)) - 1) * r.window
			t.Logf("cap %.2f: %s", share, r.String())
			if r.movedMost > share || r.recovered > least+least/r.window+slack {
				t.Errorf("%s at cap %.2f: %.3f moved, recovered after %d s, least %d s", sc.name, share, r.movedMost, r.recovered, least)
			}
		}
	}
}

// Compared with the baselines on the same scripts: far sooner answers than by
// static weights, fewer requests lost in a rush than with any of them, and the
// only one that keeps to the cap.
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
	for _, tenant := range []*tenant{&daehan, &alpenvlies} {
		steady, fixed := run(tenant, find("steady"), ours), run(tenant, find("steady"), static)
		if ratio := steady.p(50) / fixed.p(50); ratio > 0.3 {
			t.Errorf("%s: p50 is %.2f of that of static weights", tenant.name, ratio)
		}
		dawn := run(tenant, find("dawn"), ours)
		for _, p := range []policy{nearest, greedy} {
			other := run(tenant, find("dawn"), p)
			if dawn.refused >= other.refused/100 {
				t.Errorf("%s: refuses %.0f in a rush, %s %.0f", tenant.name, dawn.refused, p.name, other.refused)
			}
		}
		for _, p := range []policy{nearest, static, greedy} {
			if other := run(tenant, find("region-lost"), p); other.movedMost < 3*other.cap {
				t.Errorf("%s: %s moves %.3f in a window", tenant.name, p.name, other.movedMost)
			}
		}
	}
}
