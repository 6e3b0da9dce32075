package integration

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/yuccaroute/yuccaroute/api/result"
)

// busyShare is the share of processor time that other processes use on a machine
// on which too few requests may run because of them.
const busyShare = 0.25

// runUnlessStarved runs a load on a new cluster. If fewer requests ran than the
// least counts and other processes used much of the machine meanwhile, it runs the
// load once more on another cluster, with few requests in hand, so that it takes
// longer instead of passing the deadlines. The promises are checked in both runs.
func runUnlessStarved(t *testing.T, l load, least map[result.Outcome]int, steps []step) (*farm, outcome) {
	t.Helper()
	f := newCluster(t, asWritten)
	before := f.processorTime()
	o := f.run(l, steps...)
	others := before.othersUntil(f.processorTime())
	t.Logf("other processes used %.2f of the processor time", others)
	if o.shortOf(least) == "" || others < busyShare {
		return f, o
	}
	o.want(t, nil)
	t.Logf("once more with %d requests in hand: %s", fewInFlight, o.shortOf(least))
	f.end()
	f, l.inFlight = newCluster(t, asWritten), fewInFlight
	return f, f.run(l, steps...)
}

// processorTime is what was used until a moment, in ticks.
type processorTime struct {
	// all is the time of all processors that this test may use, busy the part in which they
	// ran anything, own what this test and its processes used.
	all, busy, own int64
}

// othersUntil returns the share of the time until a later moment that other
// processes used.
func (p processorTime) othersUntil(later processorTime) float64 {
	used := later.busy - p.busy - (later.own - p.own)
	return float64(used) / float64(max(1, later.all-p.all))
}

// processorTime reads what was used until now. The time of processes that have
// ended is in that of the test, which has waited for them.
func (f *farm) processorTime() processorTime {
	f.t.Helper()
	p := processorTime{own: ownTicks("self")}
	for _, one := range f.processes() {
		p.own += ownTicks(strconv.Itoa(one.pid()))
	}
	allowed := allowedProcessors(f.t)
	for _, line := range bytes.Split(readFile(f.t, "/proc/stat"), []byte("\n")) {
		fields := strings.Fields(string(line))
		// Guest time, the ninth and tenth value, is part of the first two.
		if len(fields) < 9 || !allowed[fields[0]] {
			continue
		}
		for i, field := range fields[1:9] {
			ticks, _ := strconv.ParseInt(field, 10, 64)
			p.all += ticks
			if idle := i == 3 || i == 4; !idle {
				p.busy += ticks
			}
		}
	}
	return p
}

// allowedProcessors returns the names of the processors that the test may use.
func allowedProcessors(t *testing.T) map[string]bool {
	t.Helper()
	allowed := make(map[string]bool)
	_, list, _ := strings.Cut(string(readFile(t, "/proc/self/status")), "Cpus_allowed_list:")
	list, _, _ = strings.Cut(list, "\n")
	for _, part := range strings.Split(strings.TrimSpace(list), ",") {
		first, last, isRange := strings.Cut(part, "-")
		if !isRange {
			last = first
		}
		from, errFrom := strconv.Atoi(first)
		to, errTo := strconv.Atoi(last)
		if errFrom != nil || errTo != nil {
			t.Fatalf("processors %q", list)
		}
		for i := from; i <= to; i++ {
			allowed[fmt.Sprint("cpu", i)] = true
		}
	}
	return allowed
}

// ownTicks returns the processor time of a process and of those that it has waited
// for, 0 if there is none.
func ownTicks(pid string) (ticks int64) {
	stat, err := os.ReadFile("/proc/" + pid + "/stat")
	if err != nil {
		return 0
	}
	// The name, in parentheses, may contain spaces.
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	for _, field := range fields[11:15] {
		n, _ := strconv.ParseInt(field, 10, 64)
		ticks += n
	}
	return ticks
}

// Guards against a test that counts its own work as that of other processes, and
// would then excuse a daemon that uses too much.
func TestOwnWorkIsNoWorkOfOthers(t *testing.T) {
	p := processorTime{all: 1000, busy: 400, own: 100}
	later := processorTime{all: 2000, busy: 1200, own: 850}
	if got := p.othersUntil(later); got != 0.05 {
		t.Errorf("others used %v, want 0.05", got)
	}
	f := newFarm(t)
	before := f.processorTime()
	used := before.own
	for used < before.own+20 {
		used = f.processorTime().own
	}
	if after := f.processorTime(); after.busy-before.busy < 15 || after.all <= before.all {
		t.Errorf("20 ticks of work: from %+v to %+v", before, after)
	}
}
