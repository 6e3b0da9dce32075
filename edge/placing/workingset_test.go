package placing

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/workingset"
)

// restrictedLoad plays the load of a client account that may run in region "a" only: more keys than the
// targets there keep, of which a cold run is late and takes three times as long as a warm one. Callers come
// back once, half of them at once, the others at the stated time if that is within a third of the time that
// they have left.
type restrictedLoad struct {
	*simulation
	keys int
	// served, late and refused count tries by second since the start.
	begin                 time.Time
	served, late, refused map[int]int
	// reported tells whether reports of a VM reach another one; nil means that all do.
	reported func(from, to int) bool
	// runs counts the answers by key that were in time.
	runs     map[uint64]int
	reasons  map[Reason]int
	returned map[*Request]bool
	told     []time.Duration
}

const (
	restrictedKeys      = 843
	restrictedPerSecond = 150
	restrictedVMs       = 8
)

func newRestrictedLoad(t *testing.T, policy Policy) *restrictedLoad {
	l := &restrictedLoad{
		simulation: newSimulationFrom(t, simulationConfig{
			regions: map[string]int{"a": 16, "b": 2}, vms: restrictedVMs, slots: 9, cold: 1520 * time.Millisecond, warmKeys: 22,
			objective: time.Second, deadline: 8 * time.Second, policy: policy,
		}),
		keys: restrictedKeys, served: make(map[int]int), late: make(map[int]int), refused: make(map[int]int),
		runs: make(map[uint64]int), reasons: make(map[Reason]int), returned: make(map[*Request]bool),
	}
	l.begin = l.now
	l.pollInterval = 10 * time.Millisecond
	l.reportInterval = 150 * time.Millisecond
	l.simulation.refused = l.countRefusal
	l.answered = l.countAnswer
	l.exchanged = l.exchangeWorkingSets
	for i, b := range l.balancers {
		switch i {
		case 0:
			b.SetWorkingSetRole(WorkingSetDecider)
		case 1:
			b.SetWorkingSetRole(WorkingSetStandby)
		}
	}
	return l
}

func (l *restrictedLoad) second() int { return int(l.now.Sub(l.begin) / time.Second) }

func (l *restrictedLoad) countAnswer(r *Request) {
	if l.now.After(r.Objective) {
		l.late[l.second()]++
		return
	}
	l.served[l.second()]++
	l.runs[r.Key]++
}

func (l *restrictedLoad) countRefusal(vm int, r *Request, d Decision) {
	l.simulation.result.rejected++
	l.refused[l.second()]++
	l.reasons[d.Reason]++
	if d.Reason == NotInWorkingSet {
		l.told = append(l.told, d.RetryAfter)
	}
	after := d.RetryAfter
	if l.random.IntN(2) == 0 {
		after = 0
	}
	if l.returned[r] || after > r.Deadline.Sub(l.now)/3 {
		return
	}
	again := *r
	l.returned[&again] = true
	l.schedule(after+6*time.Millisecond, func() { l.place(vm, &again) })
}

// send sends one request with a random key.
func (l *restrictedLoad) send() {
	key := HashOf(fmt.Sprint("object-", l.random.IntN(l.keys)))
	vm := l.ownerOf(l.random.IntN(restrictedVMs), key)
	l.place(vm, &Request{
		Service: serviceName, Class: l.classes[vm], Key: key, HasKey: true,
		Allowed:   func(region string) bool { return region == "a" },
		Objective: l.now.Add(l.objective), Deadline: l.now.Add(l.deadline),
	})
}

// play sends requests at a rate for a time.
func (l *restrictedLoad) play(perSecond float64, d time.Duration) {
	end := l.now.Add(d)
	var next func()
	next = func() {
		if l.now.Before(end) {
			l.send()
			l.schedule(time.Duration(l.random.ExpFloat64()/perSecond*float64(time.Second)), next)
		}
	}
	next()
	l.run(d)
}

// exchangeWorkingSets delivers what VMs tell of working sets, as reports do.
func (l *restrictedLoad) exchangeWorkingSets() {
	for i, from := range l.balancers {
		report := WorkingSetReport{
			From: from.options.VM, Region: from.options.Region,
			Loads: from.WorkingSetLoads(l.now, false), Arcs: from.WorkingSetArcs(l.now, false),
		}
		for j, to := range l.balancers {
			if i == j || l.reported != nil && !l.reported(i, j) {
				continue
			}
			if err := to.SetWorkingSetReport(l.now, report); err != nil {
				l.t.Error(err)
			}
		}
	}
}

// sum adds up a count over seconds.
func sum64(counts map[int]int, from, to int) (n int) {
	for second := from; second < to; second++ {
		n += counts[second]
	}
	return n
}

func (l *restrictedLoad) log(name string, from, to int) {
	l.t.Logf("%s, seconds %d to %d: %d in time, %d late, %d refused", name, from, to,
		sum64(l.served, from, to), sum64(l.late, from, to), sum64(l.refused, from, to))
}

func (l *restrictedLoad) fraction(vm int) float64 {
	f := l.balancers[vm].ring(l.now, "a").Fractions(workingset.ScopeOf(serviceName, "a"))
	return f.Lowest()
}

var workingSetPolicy = Policy{WorkingSet: true, RotationPeriod: time.Minute}

func TestTrial(t *testing.T) {
	for _, policy := range []Policy{{}, workingSetPolicy} {
		l := newRestrictedLoad(t, policy)
		for i := range 60 {
			rate := 150.0
			if i >= 15 && i < 21 {
				rate = 1500
			}
			l.play(rate, time.Second)
			l.t.Logf("%d: f %.3f served %d late %d refused %d", i, l.fraction(3), l.served[i], l.late[i], l.refused[i])
		}
		l.log("all", 0, 60)
		t.Log(l.reasons)
	}
}
