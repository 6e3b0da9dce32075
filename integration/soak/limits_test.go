package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/yuccaroute/yuccaroute/platform/platformtest"
)

const (
	// limitedTarget is the index of the target that states a limit, targetRate the limit in requests
	// per second.
	limitedTarget = 0
	targetRate    = 10
	// targetWindow, targetFactor and targetSlack bound its requests: in no window more than
	// targetFactor times what the limit allows, and targetSlack.
	targetWindow = 4 * time.Second
	targetFactor = 1.5
	targetSlack  = 5
	// affinityKeys is how many affinity keys there are: they follow from the length of an ID.
	affinityKeys = 7
)

// limitTarget lets the target state its limit, if the seed has one.
func (w *world) limitTarget() {
	if w.seed >= limitSeeds {
		w.limitStated = true
		w.targets[limitedTarget].SetLimit(targetRate)
	}
}

// toggleLimit withdraws the limit, or states it again.
func (w *world) toggleLimit() {
	w.limitStated = !w.limitStated
	rate := 0.0
	if w.limitStated {
		rate = targetRate
	}
	w.targets[limitedTarget].SetLimit(rate)
}

// checkTargetLimit lets callers go on after all faults have ended, and checks that the limit holds
// for all VMs together and is used, and that its end is noticed.
func (w *world) checkTargetLimit() {
	if w.seed < limitSeeds {
		return
	}
	defer w.askWithAllKeys()()
	target := w.targets[limitedTarget]
	for _, other := range w.targets {
		other.SetLimit(0)
	}
	w.limitTarget()
	time.Sleep(contactTime)
	from := time.Now()
	time.Sleep(2 * targetWindow)
	const allowed = targetFactor*targetRate*4 + targetSlack
	if most := mostSince(target.Arrivals(), from); most > allowed || most == 0 {
		w.t.Errorf("the limited target got %d requests in %s, at least 1 and at most %v allowed", most, targetWindow, allowed)
	} else {
		w.t.Logf("the limited target got at most %d requests in %s, %v allowed", most, targetWindow, allowed)
	}
	target.SetLimit(0)
	for ended := time.Now(); mostSince(target.Arrivals(), ended) <= allowed; time.Sleep(50 * time.Millisecond) {
		if time.Since(ended) > healTime {
			w.t.Fatalf("the target gets no more requests than before %s after it has withdrawn its limit", healTime)
		}
	}
}

// limitedService returns the targets of the limited target's service.
func (w *world) limitedService() (targets []*platformtest.Target) {
	for _, target := range w.targets {
		if target.Service == w.targets[limitedTarget].Service {
			targets = append(targets, target)
		}
	}
	return targets
}

// changeLimits changes the limit of one target, or of all targets of its service.
func (w *world) changeLimits() {
	targets := w.limitedService()
	if w.random.IntN(2) == 0 {
		targets = targets[:1]
	}
	text := []string{"", "0.5", "1", "10", "100", "many"}[w.random.IntN(6)]
	w.faults["limit "+text]++
	for _, target := range targets {
		target.SetLimitText(text)
	}
}

// checkChangedLimits lets all targets of a service state a limit and then a tenth of it while
// requests wait, and then a malformed one, and checks that the lowest holds until it is withdrawn.
func (w *world) checkChangedLimits() {
	if w.seed < changingLimitSeeds {
		return
	}
	defer w.askWithAllKeys()()
	targets := w.limitedService()
	state := func(text string, lasts time.Duration) {
		for _, target := range targets {
			target.SetLimitText(text)
		}
		time.Sleep(lasts)
	}
	state(fmt.Sprint(targetRate), contactTime)
	const shrunkRate = targetRate / 10
	state(fmt.Sprint(shrunkRate), contactTime+targetWindow)
	from := time.Now()
	time.Sleep(2 * targetWindow)
	state("many", targetWindow)
	const allowed = targetFactor*shrunkRate*4 + targetSlack
	for i, target := range targets {
		if most := mostSince(target.Arrivals(), from); float64(most) > allowed || most == 0 {
			w.t.Errorf("target %d got %d requests in %s, at least 1 and at most %v allowed", i, most, targetWindow, float64(allowed))
		}
	}
	state("", 0)
}

// askWithAllKeys sends requests with all affinity keys, as those of other callers may belong to other
// targets, until it is stopped.
func (w *world) askWithAllKeys() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for n := range affinityKeys {
		c := &caller{
			name: fmt.Sprintf("keys-%d", n), vms: w.processes, journal: &journal{}, key: w.keyOf(0),
			random: rand.New(rand.NewPCG(w.seed, uint64(2*callers+n))),
		}
		all.Go(func() {
			for ctx.Err() == nil {
				c.sent++
				c.ask(fmt.Sprintf("%s-%d-%d%s", c.name, w.seed, c.sent, strings.Repeat("-", c.sent%affinityKeys)), c.sent%2 == 0)
			}
			c.drop()
		})
	}
	return func() { cancel(); all.Wait() }
}

// mostSince returns the highest number of arrivals in a window after a time.
func mostSince(arrivals []platformtest.Arrival, from time.Time) int {
	most, first := 0, 0
	for i, a := range arrivals {
		if a.At.Before(from) {
			first = i + 1
			continue
		}
		for a.At.Sub(arrivals[first].At) >= targetWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
