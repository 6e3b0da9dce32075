package scenario

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/steering"
)

// result holds the outcome of a run as callers and operators see it.
type result struct {
	script  script
	policy  string
	latency *hdrhistogram.Histogram
	offered float64
	refused float64
	failed  float64
	// headroom is the lowest free fraction of any place, region or link.
	headroom float64
	// peakUtilization is the largest ratio of a planned rate to a capacity.
	peakUtilization float64
	// maxMoved is the largest part of the traffic moved in a window, 0 to 1.
	maxMoved float64
	moves    []float64
	// recoverySeconds is the time from the fault to the last second in which more
	// than 0.1 % of the requests were lost, -1 if the run ends with such losses.
	recoverySeconds int
	lostSoFar       float64
	lastLossSecond  int
	window          int
	moveCap         float64
	// planChanges counts the changed plans, since each costs a write to the store and
	// a message to every node.
	planChanges int
}

func newResult(sc script, p policy) *result {
	return &result{script: sc, policy: p.name, latency: newHistogram(), headroom: 1}
}

// checkPlan compares the planned rates with the capacities.
func (r *result) checkPlan(w *world, d steering.Decision) {
	if d.Changed {
		r.planChanges++
	}
	sums := make(map[model.RegionName]float64)
	for _, l := range d.Limits {
		service := w.account.Service(l.Service)
		r.peakUtilization = max(r.peakUtilization, l.DesiredRPS/service.CapacityAt(l.Place))
		sums[w.account.RegionOf(l.Place)] += l.DesiredRPS
	}
	for name, sum := range sums {
		r.peakUtilization = max(r.peakUtilization, sum/w.account.Region(name).CapacityRPS)
	}
	r.window = int(w.account.Moves.Window.Seconds())
	r.moveCap = w.account.Moves.Share
}

// recordSecond adds one second of traffic.
func (r *result) recordSecond(w *world, served []stream, moved float64, second int) {
	offered := 0.0
	for _, rps := range w.demand {
		offered += rps
	}
	r.offered += offered
	r.moves = append(r.moves, moved/offered)
	for _, s := range served {
		c := w.cells[cellName{s.flow.service, s.place}]
		rttMS := 2 * oneWayMS(w, s.flow.caller, s.region)
		slow := int64(s.rps * 0.02)
		recordLatency(r.latency, rttMS+c.latencyMS, int64(s.rps)-slow)
		recordLatency(r.latency, rttMS+c.p99MS, slow)
	}
	r.recordHeadroom(w, served)
	lost := r.refused + r.failed - r.lostSoFar
	r.lostSoFar = r.refused + r.failed
	if lost > offered/1000 {
		r.lastLossSecond = second
	}
}

func oneWayMS(w *world, from, to model.RegionName) float64 {
	if from == to {
		return 0
	}
	return float64(w.spec.oneWayDelay.Microseconds()) / 1000
}

func recordLatency(h *hdrhistogram.Histogram, ms float64, n int64) {
	if n > 0 {
		_ = h.RecordValues(int64(ms*1000), n)
	}
}

func (r *result) recordHeadroom(w *world, served []stream) {
	cells, regions, links := w.sums(served)
	for name, rps := range cells {
		if c := w.cells[name]; c.usable > 0 {
			r.headroom = min(r.headroom, 1-rps/(w.spec.placeRPS[name.service]*c.usable))
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
		r.maxMoved = max(r.maxMoved, sum)
	}
	r.recoverySeconds = max(0, r.lastLossSecond-r.script.faultSecond+1)
	if r.lastLossSecond == 0 {
		r.recoverySeconds = 0
	}
	if r.lastLossSecond == r.script.seconds-1 {
		r.recoverySeconds = -1
	}
}

func (r *result) latencyMS(q float64) float64 { return float64(r.latency.ValueAtQuantile(q)) / 1000 }

func (r *result) String() string {
	return fmt.Sprintf("%-14s %-8s p50 %6.1f p99 %6.1f ms  headroom %5.1f %%  moved %5.1f %%  peak %.2f  refused %6.3f %% failed %6.3f %%  recovery %4d s  plans %3d",
		r.script.name, r.policy, r.latencyMS(50), r.latencyMS(99), 100*r.headroom, 100*r.maxMoved, r.peakUtilization, 100*r.refused/r.offered, 100*r.failed/r.offered, r.recoverySeconds, r.planChanges)
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }
