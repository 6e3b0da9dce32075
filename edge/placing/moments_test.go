package placing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/site"
)

// moments makes the machine of one target in slowEvery slower by slowPace for slowTime, then that of
// another one. The methods do nothing for nil.
type moments struct {
	// atStart fixes the time of a run by the pace at its start; otherwise it follows the pace.
	atStart bool
	// states is set if answers state the pace.
	states bool
	// errors are the differences of actual and expected times of warm runs at targets with a free slot,
	// whose work took no unexpected time by itself; late counts those that missed the objective at a slow target.
	errors []time.Duration
	late   int
}

const (
	slowEvery = 7
	slowPace  = 2.5
	slowTime  = 600 * time.Millisecond
	// Three requests in a hundred take longWork times as long.
	longShare = 0.03
	longWork  = 7
)

// paceAt returns the pace of a target's machine, and when it may change.
func (m *moments) paceAt(s *simTarget, now time.Time) (pace float64, until time.Time) {
	phase := time.Duration(HashOf(s.id) % uint64(slowTime))
	window := now.Add(phase).Truncate(slowTime)
	until = window.Add(slowTime - phase)
	if HashOf(fmt.Sprint(s.id, window.UnixNano()))%slowEvery == 0 {
		return slowPace, until
	}
	return 1, until
}

// run returns how long work takes that starts now, and whether that could not be expected: the work is
// long by itself, or the target is cold for the key.
func (m *moments) run(sim *simulation, s *simTarget, work time.Duration) (took time.Duration, unexpected bool) {
	if m == nil {
		return work, false
	}
	unexpected = work > sim.cold/2
	if sim.random.Float64() < longShare {
		work *= longWork
		unexpected = true
	}
	if m.atStart {
		pace, _ := m.paceAt(s, sim.now)
		return time.Duration(float64(work) * pace), unexpected
	}
	for at := sim.now; ; {
		pace, until := m.paceAt(s, at)
		part := time.Duration(float64(until.Sub(at)) / pace)
		if part >= work {
			return at.Sub(sim.now) + time.Duration(float64(work)*pace), unexpected
		}
		work -= part
		at = until
	}
}

// state lets a target state its load in an answer, which arrives after a delay.
func (m *moments) state(sim *simulation, s *simTarget, vm int, d Decision, delay time.Duration) {
	if m == nil || !m.states {
		return
	}
	l := site.Load{Known: true, Running: s.running, Waiting: len(s.queue), Slots: s.slots}
	l.Pace, _ = m.paceAt(s, sim.now)
	sim.schedule(delay, func() { sim.balancers[vm].TargetStatesLoad(sim.now, d.Target, l, true) })
}

// answered compares the time of a request with the expected one.
func (m *moments) answered(sim *simulation, vm int, d Decision, unexpected bool, took time.Duration) {
	if m == nil || unexpected || !d.Warm || d.InFlight >= d.Slots {
		return
	}
	m.errors = append(m.errors, took-d.Expected)
	if took > sim.objective {
		m.late++
	}
}

// exchange tells VMs of the region which targets are slow.
func (m *moments) exchange(sim *simulation) {
	if m == nil {
		return
	}
	for i, from := range sim.balancers {
		slow := from.SlowTargets(sim.now, false)
		for j, to := range sim.balancers {
			if i != j && from.options.Region == to.options.Region {
				to.SetSlowTargets(sim.now, slow)
			}
		}
	}
}

type momentsResult struct {
	sent, inObjective, slowLate, coldRuns int
	errors                                []time.Duration
}

// add adds the result of another play.
func (r *momentsResult) add(o momentsResult) {
	r.sent, r.inObjective, r.slowLate = r.sent+o.sent, r.inObjective+o.inObjective, r.slowLate+o.slowLate
	r.coldRuns += o.coldRuns
	r.errors = append(r.errors, o.errors...)
}

// meanError returns the mean absolute difference of actual and expected times.
func (r *momentsResult) meanError() time.Duration {
	sum := time.Duration(0)
	for _, e := range r.errors {
		sum += e.Abs()
	}
	return sum / time.Duration(len(r.errors))
}

func (r *momentsResult) quantile(q float64) time.Duration {
	slices.Sort(r.errors)
	return r.errors[int(q*float64(len(r.errors)))]
}

// playMoments plays the rate calculators' look-ups: a VM gets an answer of one target each second or
// two, and counts of other VMs are up to 0.2 s old.
func playMoments(t *testing.T, seed uint64, states, atStart bool) momentsResult {
	const targets, slots, vms, cold = 20, 4, 10, 650 * time.Millisecond
	sim := newSimulationFrom(t, simulationConfig{
		regions: map[string]int{"a": targets}, vms: vms, slots: slots, cold: cold, warmKeys: 56,
		objective: 600 * time.Millisecond, deadline: 4 * time.Second,
	})
	sim.random = rand.New(rand.NewPCG(seed, 7))
	sim.moments = &moments{atStart: atStart, states: states}
	sim.reportInterval, sim.routeByOwner = 200*time.Millisecond, true
	for _, b := range sim.balancers {
		b.options.Policy.StatedLoad = states
	}
	sim.load(0.6*targets*slots/sim.warm.Seconds()/vms, 400, 50*time.Second)
	sim.run(20 * time.Second)
	sim.result.sent, sim.result.inObjective, sim.result.coldRuns = 0, 0, 0
	sim.moments.errors, sim.moments.late = nil, 0
	sim.run(30 * time.Second)
	return momentsResult{
		sent: sim.result.sent, inObjective: sim.result.inObjective, coldRuns: sim.result.coldRuns,
		slowLate: sim.moments.late, errors: sim.moments.errors,
	}
}

// Rate calculators whose machines are slow for moments must be predicted better by what targets state:
// without it, a moment's slowness and single long requests count as the target's for seconds. The time
// of work may follow the pace or be fixed at the start.
func TestStatedPaceOfRateCalculators(t *testing.T) {
	const seeds = 2
	for _, atStart := range []bool{false, true} {
		var without, with momentsResult
		for seed := range uint64(seeds) {
			without.add(playMoments(t, seed, false, atStart))
			with.add(playMoments(t, seed, true, atStart))
		}
		without.log(t, "without")
		with.log(t, "with")
		if with.meanError() > without.meanError()*9/10 {
			t.Errorf("fixed at start: %v: times are %v from the expected ones, %v without stated paces", atStart, with.meanError(), without.meanError())
		}
		if with.share() < without.share()-0.01 {
			t.Errorf("fixed at start: %v: %.3f met their objective, %.3f without stated paces", atStart, with.share(), without.share())
		}
	}
}

func (r *momentsResult) share() float64 { return float64(r.inObjective) / float64(r.sent) }

func (r *momentsResult) log(t *testing.T, name string) {
	t.Logf("%s: %.3f in objective, %d cold runs, %d late at a free target; mean error %v, p10 %v, p50 %v, p90 %v, p99 %v",
		name, r.share(), r.coldRuns, r.slowLate, r.meanError(), r.quantile(0.1), r.quantile(0.5), r.quantile(0.9), r.quantile(0.99))
}
