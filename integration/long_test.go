package integration

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/result"
)

// The variables that ask for the long run: how many requests, and the seed.
const (
	longRequests = "YUCCAROUTE_LONG_REQUESTS"
	longSeed     = "YUCCAROUTE_LONG_SEED"
)

const (
	// The load: a base that fits, and rushes that ask for more than the
	// regions may carry.
	longBase, longRush = 500, 1100
	rushEvery          = 20 * time.Second
	rushFor            = 5 * time.Second
	// A fault begins every faultEvery requests and ends after faultFor.
	faultEvery = 3000
	faultFor   = 2000
)

// rushes is the rate of the long run.
func rushes(elapsed time.Duration) float64 {
	if elapsed%rushEvery > rushEvery-rushFor {
		return longRush
	}
	return longBase
}

// tight lowers the account's limits, so that the rushes pass them.
func tight(account []byte) []byte {
	lower := strings.NewReplacer(
		"capacity_rps = 2400", "capacity_rps = 700", "capacity_rps = 1200", "capacity_rps = 400",
		"link_in_rps = 1200", "link_in_rps = 300")
	return []byte(lower.Replace(string(account)))
}

// fault is something that fails for a while.
type fault struct {
	name  string
	steps func(from, to int) []step
}

// faults are all that fail in the long run, in turn.
func faults() []fault {
	return []fault{
		{"cut within the request", rolling(cutAfter(towards, 5000, 1))},
		{"cut after the request", rolling(cutAfter(back, 0, 1))},
		{"cut within the answer", rolling(cutAfter(back, 240, 1))},
		{"answers after the deadline", rolling(delay(back, 1200, 200, 1))},
		{"answers in reverse order", rolling(delay(back, 60, 60, 1), slices(back, 40))},
		{"half-open targets", rolling(swallow(back, 1))},
		{"reset connections", rolling(resetAfter(back, 1, 1))},
		{"cut before the request", between(cutTarget(2), restoreTarget(2))},
		{"callers' paths", rollEntries},
		{"target killed", between(killTarget(3), startTarget(3))},
		{"entry VM killed", between(killEntry(0), startEntry(0))},
		{"entry VM paused", between(pauseEntry(2), resumeEntry(2))},
		{"store outage", between(outage(true), outage(false))},
		{"store cut off", between(
			func(f *farm) { f.platformPath.cut() }, func(f *farm) { f.platformPath.restore() })},
		{"all", between(allFail, allRecover)},
	}
}

func rolling(toxics ...toxic) func(from, to int) []step {
	return func(from, to int) []step { return roll(from, to, toxics...) }
}

func between(fail, recover func(*farm)) func(from, to int) []step {
	return func(from, to int) []step { return []step{{from, fail}, {to, recover}} }
}

// longSteps lets the faults happen in turn until the requests end.
func longSteps(requests int) []step {
	var steps []step
	all := faults()
	for n, from := 0, faultEvery; from+faultFor < requests; n, from = n+1, from+faultEvery {
		one := all[n%len(all)]
		tell := step{from, func(f *farm) {
			f.t.Logf("after %d requests, %d not run, %d unknown: %s",
				from, f.soFar[result.NotRun].Load(), f.soFar[result.Unknown].Load(), one.name)
		}}
		steps = append(append(steps, tell), one.steps(from, from+faultFor)...)
	}
	return steps
}

// TestLongRun sends as many requests as the environment asks for, through all
// faults in turn, each at least twice in 100,000 requests.
func TestLongRun(t *testing.T) {
	requests, err := strconv.Atoi(os.Getenv(longRequests))
	if err != nil || requests <= 0 {
		t.Skipf("set %s to a number of requests", longRequests)
	}
	seed, err := strconv.ParseUint(os.Getenv(longSeed), 10, 64)
	if err != nil {
		seed = 1
	}
	f := newCluster(t, tight)
	o := f.run(load{seed: seed, requests: requests, rate: rushes, deadline: time.Second}, longSteps(requests)...)
	t.Logf("seed %d\n%s%s", seed, o.report, o.report.LargestMove.Detail)
	o.want(t, map[result.Outcome]int{result.Ran: requests / 2, result.Unknown: 100})
}
