package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// Requests of boundAccount may run in boundRegion only, which has a third of the targets. They have
	// boundKeys affinity keys, three times as many as a target keeps.
	boundAccount, boundKey = "bound", "key-bound"
	boundRegion            = "s"
	boundKeys              = 24
	boundCallers           = 4
	// rotation is the time in which each key gets its turn where the region cannot serve all.
	rotation = 4 * time.Second
	// crowd is how many callers each key has in the calm window. Their orders have a route of their own with
	// the timeout crowdTime, in which the region serves fewer than there are. The first caller of each key
	// gives up after that time and begins anew. The others have callTime and are promised places, which a VM
	// does for times up to a third of what a caller has left.
	crowd     = 3
	crowdTime = 300 * time.Millisecond
	// servedPause is how long a caller that asks at each turn of one key pauses after a request that was served.
	// It is less than the time between two turns, and keeps those callers from adding much to the load.
	servedPause = rotation / 4
	// askPause is how long those callers pause after a refusal, and turnPause if they are told the least time,
	// nearTurn. That is longer than the shortest turn, of which turnPause is half.
	askPause    = crowdTime / 3
	nearTurn    = 100 * time.Millisecond
	turnPause   = time.Duration(minFraction * float64(rotation) / 2)
	crowdPrefix = "/crowd/"
	crowdName   = boundAccount + "-crowd-"
	// shortestTry is the time below which a caller sends no further try.
	shortestTry = 20 * time.Millisecond

	// boundStream and loadStream are the streams of the generators of callers and targets. Those of other
	// callers are below 100.
	boundStream, loadStream = 1000, 2000

	// maxPromises, minFraction and maxScopes bound the state of a VM: promises to refused callers, the
	// fraction of keys in a working set, and pairs of service and region.
	maxPromises = 4096
	minFraction = 1.0 / 64
	maxScopes   = 2 * 2
	// memoryLimit is the memory of a VM by its settings, in bytes.
	memoryLimit = 284 << 20
	// lapseTime is how long after the crowd has left its promises may be pending: a third of callTime, the
	// window for a return and two refreshes of the metrics page.
	lapseTime = 6 * time.Second
)

// regions maps failure domains to regions.
var regions = map[string]string{"n1": "n", "n2": "n", "s1": "s"}

// Targets state their load, are slow for moments and keep few affinity keys, and an account may run in the
// region with a third of the targets only.
func TestSoakOfUnevenLoad(t *testing.T) {
	soak(t, buildEntry(t), unevenSeeds)
}

// stateLoads makes all targets state their load.
func (w *world) stateLoads() {
	if w.seed < unevenSeeds {
		return
	}
	random := rand.New(rand.NewPCG(w.seed, loadStream))
	for _, target := range w.targets {
		target.StateLoad(random.Uint64())
	}
}

// boundCaller returns a caller of the account that may run in one region only.
func (w *world) boundCaller(name string, n int, seen *journal) *caller {
	return &caller{
		name: fmt.Sprintf("%s-%s-%d-%d", boundAccount, name, w.seed, n), vms: w.processes, journal: seen, key: boundKey,
		random: rand.New(rand.NewPCG(w.seed, uint64(boundStream+n))), affinity: boundAffinity(n),
	}
}

func boundAffinity(n int) string { return fmt.Sprintf("%s-%d", boundAccount, n%boundKeys) }

// startBound starts callers of that account, unless the seed has none.
func (w *world) startBound(ctx context.Context, all *sync.WaitGroup, seen *journal) {
	if w.seed < unevenSeeds {
		return
	}
	for n := range boundCallers {
		c := w.boundCaller("steady", n, seen)
		all.Go(func() {
			for ctx.Err() == nil {
				c.affinity = boundAffinity(c.random.IntN(boundKeys))
				c.insist(ctx)
			}
			c.drop()
		})
	}
}

// insist sends a request, and again under a new ID after each refusal, until it is served or the caller's
// deadline has passed. It waits as long as it was told, up to a third of the time that it has left.
func (c *caller) insist(ctx context.Context) (order, served bool) {
	givesUp := time.Now().Add(c.deadline())
	order = c.random.IntN(2) == 0
	for ctx.Err() == nil {
		asked := time.Now()
		left := givesUp.Sub(asked)
		if left < shortestTry {
			return order, false
		}
		o := c.try(order, left)
		if !isRefusal(o.status) {
			return order, o.status == http.StatusOK
		}
		time.Sleep(min(o.comeBack(), time.Until(givesUp)/3))
	}
	return order, false
}

// askAtTurns asks for one key of one route only, so often that requests come at each of its turns. It calls served
// for each request that was served.
func (c *caller) askAtTurns(ctx context.Context, order bool, served func()) {
	for ctx.Err() == nil {
		switch o := c.try(order, c.deadline()); {
		case o.status == http.StatusOK:
			served()
			pause(ctx, servedPause)
		case isRefusal(o.status):
			wait := askPause
			if o.comeBack() <= nearTurn {
				wait = turnPause
			}
			pause(ctx, wait)
		}
	}
}

// try sends a request and records what was seen of it.
func (c *caller) try(order bool, deadline time.Duration) outcome {
	c.sent++
	asked := time.Now()
	o := c.askWithin(fmt.Sprintf("%s-%d", c.name, c.sent), order, deadline)
	o.took = time.Since(asked)
	c.journal.add(o)
	return o
}

// comeBack returns after which time the caller of a refused request was told to come back.
func (o outcome) comeBack() time.Duration { return time.Duration(o.retryAfter * float64(time.Second)) }

// pause waits, or returns earlier when ctx is done.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func isRefusal(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// checkBound checks in calm that more requests than the region serves leave no key of the account out, and
// that the VMs' state stays bounded.
func (w *world) checkBound(seen *journal) {
	if w.seed < unevenSeeds {
		return
	}
	w.t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	var all sync.WaitGroup
	var mu sync.Mutex
	// Routes have different places on the ring for one key.
	served := make(map[string][]time.Time)
	for n := range boundKeys {
		served["look-ups of "+boundAffinity(n)], served["orders of "+boundAffinity(n)] = nil, nil
	}
	record := func(order bool, affinity string) {
		what := "look-ups of " + affinity
		if order {
			what = "orders of " + affinity
		}
		mu.Lock()
		defer mu.Unlock()
		served[what] = append(served[what], time.Now())
	}
	for n := range crowd * boundKeys {
		c := w.boundCaller("crowd", n, seen)
		c.orders = crowdPrefix
		if n < boundKeys {
			c.timeout = crowdTime
		}
		all.Go(func() {
			for ctx.Err() == nil {
				if order, ok := c.insist(ctx); ok {
					record(order, c.affinity)
				}
			}
			c.drop()
		})
	}
	// The crowd draws the route of each request anew, so that some turns of a key pass without a request.
	for n := range 2 * boundKeys {
		c := w.boundCaller("crowd", crowd*boundKeys+n, seen)
		c.orders = crowdPrefix
		order := n >= boundKeys
		all.Go(func() {
			c.askAtTurns(ctx, order, func() { record(order, c.affinity) })
			c.drop()
		})
	}
	time.Sleep(rotation)
	from := time.Now()
	w.checkStates(maxPromises)
	time.Sleep(2 * rotation)
	w.checkStates(maxPromises)
	to := time.Now()
	stop()
	all.Wait()
	w.checkTurns(seen, served, from, to)
	time.Sleep(lapseTime)
	w.checkStates(boundCallers)
}

// checkTurns checks that each key of each route was served within each rotation. A request that is sent at the turn of
// its key may take as long as a caller waits.
func (w *world) checkTurns(seen *journal, served map[string][]time.Time, from, to time.Time) {
	w.t.Helper()
	var logged map[string][]string
	total, fewest, longest := 0, -1, time.Duration(0)
	for what, times := range served {
		last, n, gap, gapFrom := from, 0, time.Duration(0), from
		for _, at := range append(times, to) {
			if at.Before(from) || at.After(to) {
				continue
			}
			if at.Sub(last) > gap {
				gap, gapFrom = at.Sub(last), last
			}
			last = at
			n++
		}
		n--
		total += n
		longest = max(longest, gap)
		if fewest < 0 || n < fewest {
			fewest = n
		}
		if gap > rotation+callTime {
			if logged == nil {
				logged = w.loggedByID()
			}
			w.t.Errorf("%s were not served for %s, served %d times in %s; %s", what, gap, n, to.Sub(from),
				triesBetween(seen, logged, what, gapFrom, gapFrom.Add(gap)))
		}
	}
	if total == 0 {
		w.t.Errorf("no request of the account was served in %s", to.Sub(from))
	}
	w.t.Logf("crowd: %d requests served in %s, at least %d of each key, longest pause of a key %s", total, to.Sub(from), fewest, longest)
}

// checkStates checks the state of each VM by its metrics page and its memory: at most so many promises that
// are neither kept nor lapsed, and working sets of known services and regions only.
func (w *world) checkStates(promises float64) {
	w.t.Helper()
	for _, p := range w.processes {
		page, err := p.metrics()
		if err != nil {
			w.t.Errorf("%s gives no metrics: %v", p.vm.Name, err)
			continue
		}
		fractions, refusals, lowest := 0, 0, 1.0
		for series, value := range page {
			switch name, _, _ := strings.Cut(series, "{"); name {
			case "yuccaroute_working_set_fraction":
				fractions++
				lowest = min(lowest, value)
				if value > 1 || value < minFraction {
					w.t.Errorf("%s has %s %v", p.vm.Name, series, value)
				}
			case "yuccaroute_working_set_refused":
				refusals++
			}
		}
		if fractions > maxScopes || refusals > maxScopes {
			w.t.Errorf("%s has %d and %d series of working sets, at most %d expected", p.vm.Name, fractions, refusals, maxScopes)
		}
		promised, kept, lapsed := p.total(page, "returns_promised"), p.total(page, "returns_kept"), p.total(page, "returns_lapsed")
		if pending := promised - kept - lapsed; pending < 0 || pending > promises {
			w.t.Errorf("%s has %v promises pending (%v made, %v kept, %v lapsed), at most %v expected", p.vm.Name, pending, promised, kept, lapsed, promises)
		}
		memory, err := p.memory()
		if err != nil || memory > memoryLimit {
			w.t.Errorf("%s uses %d bytes of memory (%v), limit %d", p.vm.Name, memory, err, memoryLimit)
		}
		w.t.Logf("%s: promises made %v, kept %v, lapsed %v; lowest fraction of a working set %.3f; %d MB",
			p.vm.Name, promised, kept, lapsed, lowest, memory>>20)
	}
}

// metrics returns the VM's metrics by series.
func (p *process) metrics() (map[string]float64, error) {
	client := &http.Client{Timeout: callTime, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/metrics", p.vm.IP, p.vm.FirstPort))
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	page := make(map[string]float64)
	for line := range strings.Lines(string(text)) {
		if i := strings.LastIndexByte(strings.TrimSpace(line), ' '); i > 0 && line[0] != '#' {
			if value, err := strconv.ParseFloat(strings.TrimSpace(line[i:]), 64); err == nil {
				page[line[:i]] = value
			}
		}
	}
	return page, nil
}

// total returns a counter that has no tags but the VM's name.
func (p *process) total(page map[string]float64, name string) float64 {
	value, ok := page[fmt.Sprintf("yuccaroute_%s{vm=%q}", name, p.vm.Name)]
	if !ok {
		p.t.Errorf("%s has no metric %s", p.vm.Name, name)
	}
	return value
}

// memory returns the resident memory of the process in bytes.
func (p *process) memory() (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	var size, resident int
	_, err = fmt.Sscan(string(text), &size, &resident)
	return resident * os.Getpagesize(), err
}

// checkUneven checks over the whole run where requests of the account arrived, and that refused requests
// of all callers were told a time and have not run.
func (w *world) checkUneven(seen *journal) {
	if w.seed < unevenSeeds {
		return
	}
	w.t.Helper()
	arrived := 0
	for _, target := range w.targets {
		for _, a := range target.Arrivals() {
			if !strings.HasPrefix(a.ID, boundAccount+"-") {
				continue
			}
			arrived++
			if regions[target.Zone] != boundRegion {
				w.t.Errorf("%s reached %s in region %s, allowed is %s", a.ID, target.ID, regions[target.Zone], boundRegion)
			}
		}
	}
	refused := 0
	for _, o := range seen.all {
		if !isRefusal(o.status) {
			continue
		}
		refused++
		if o.retryAfter <= 0 {
			w.t.Errorf("%s was answered %d with Retry-After %v", o.id, o.status, o.retryAfter)
		}
		if runs := w.ledger.Executions(o.id); len(runs) > 0 {
			w.t.Errorf("%s was answered %d and ran: %+v", o.id, o.status, runs)
		}
	}
	if arrived == 0 {
		w.t.Error("no request of the account reached a target")
	}
	w.t.Logf("%d requests of the account arrived at targets; %d refusals checked", arrived, refused)
}
