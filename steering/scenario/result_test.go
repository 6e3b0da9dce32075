package scenario

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/steering"
)

// result is what a run gave, as callers and operators see it.
type result struct {
	script  script
	policy  string
	latency *hdrhistogram.Histogram
	offered float64
	refused float64
	failed  float64
	// headroom is the lowest part left free of any place, region or link.
	headroom float64
	// peak is the largest ratio of what a plan's limits ask to a capacity.
	peak float64
	// movedMost is the largest part moved in a window, 0 to 1.
	movedMost float64
	moves     []float64
	// recovered is the number of seconds from the fault to the last second
	// with refusals over a thousandth, -1 when the run ends with refusals.
	recovered  int
	refusedNow float64
	lastBad    int
	window     int
	cap        float64
	// plans counts the plans that differ from the one before: each is a write
	// to the store and a message to every node.
	plans int
}

func newResult(sc script, p policy) *result {
	return &result{script: sc, policy: p.name, latency: newHistogram(), headroom: 1}
}

// checkPlan compares what the decision asks with the capacities.
func (r *result) checkPlan(w *world, d steering.Decision) {
	if d.Changed {
		r.plans++
	}
	sums := make(map[model.RegionName]float64)
	for _, l := range d.Limits {
		service := w.account.Service(l.Service)
		r.peak = max(r.peak, l.DesiredRPS/service.CapacityAt(l.Place))
		sums[w.account.RegionOf(l.Place)] += l.DesiredRPS
	}
	for name, sum := range sums {
		r.peak = max(r.peak, sum/w.account.Region(name).CapacityRPS)
	}
	r.window = int(w.account.Moves.Window.Seconds())
	r.cap = w.account.Moves.Share
}

// note takes in one second of traffic.
func (r *result) note(w *world, served []stream, moved float64, second int) {
	offered := 0.0
	for _, rps := range w.demand {
		offered += rps
	}
	r.offered += offered
	r.moves = append(r.moves, moved/offered)
	for _, s := range served {
		c := w.cells[cellName{s.flow.service, s.place}]
		round := 2 * oneWayMS(w, s.flow.caller, s.region)
		slow := int64(s.rps * 0.02)
		record(r.latency, round+c.latencyMS, int64(s.rps)-slow)
		record(r.latency, round+c.p99MS, slow)
	}
	r.noteHeadroom(w, served)
	bad := r.refused + r.failed - r.refusedNow
	r.refusedNow = r.refused + r.failed
	if bad > offered/1000 {
		r.lastBad = second
	}
}

func oneWayMS(w *world, from, to model.RegionName) float64 {
	if from == to {
		return 0
	}
	return float64(w.tenant.oneWay.Microseconds()) / 1000
}

func record(h *hdrhistogram.Histogram, ms float64, n int64) {
	if n > 0 {
		_ = h.RecordValues(int64(ms*1000), n)
	}
}

func (r *result) noteHeadroom(w *world, served []stream) {
	cells, regions, links := w.sums(served)
	for name, rps := range cells {
		if c := w.cells[name]; c.usable > 0 {
			r.headroom = min(r.headroom, 1-rps/(w.tenant.capacity[name.service]*c.usable))
		}
	}
	for name, rps := range regions {
		r.headroom = min(r.headroom, 1-rps/w.account.Region(name).CapacityRPS)
	}
	for name, rps := range links {
		r.headroom = min(r.headroom, 1-rps/w.account.Region(name).LinkInRPS)
	}
}

func (r *result) finish() {
	for i := range r.moves {
		sum := 0.0
		for j := max(0, i-r.window); j <= i; j++ {
			sum += r.moves[j]
		}
		r.movedMost = max(r.movedMost, sum)
	}
	r.recovered = max(0, r.lastBad-r.script.faultAt+1)
	if r.lastBad == 0 {
		r.recovered = 0
	}
	if r.lastBad == r.script.seconds-1 {
		r.recovered = -1
	}
}

func (r *result) p(q float64) float64 { return float64(r.latency.ValueAtQuantile(q)) / 1000 }

func (r *result) String() string {
	return fmt.Sprintf("%-14s %-8s p50 %6.1f p99 %6.1f ms  headroom %5.1f %%  moved %5.1f %%  peak %.2f  refused %6.3f %% failed %6.3f %%  recovery %4d s  plans %3d",
		r.script.name, r.policy, r.p(50), r.p(99), 100*r.headroom, 100*r.movedMost, r.peak, 100*r.refused/r.offered, 100*r.failed/r.offered, r.recovered, r.plans)
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }
