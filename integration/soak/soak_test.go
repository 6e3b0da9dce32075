package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/platform/platformtest"
	"github.com/yuccaroute/yuccaroute/store/memkv"
)

var (
	seeds    = flag.Int("seeds", 1, "how many seeds to run")
	first    = flag.Uint64("first", 1, "the first seed")
	seconds  = flag.Int("seconds", 6, "how long each seed runs under faults")
	vms      = flag.Int("vms", 4, "entry VMs")
	plotTo   = flag.String("plot", "", "folder for a plot of each seed over time; none by default")
	keepLogs = flag.String("logs", "", "folder for the programs' logs; a temporary one by default")
)

const (
	targetsPerService = 3
	callers           = 12
	work              = 20 * time.Millisecond
	// laterHarms are drawn by seeds from here on: what earlier seeds do stays as it was.
	laterHarms = 1000
	// crashingRequests come with seeds from here on.
	crashingRequests = 2000
	// accounts come with seeds from here on.
	accountSeeds = 6000
	// limitSeeds are those from which on a target limits the requests of all VMs.
	limitSeeds = 7000
	// changingLimitSeeds are those from which on several targets change their limits.
	changingLimitSeeds = 8000
	// statementSeeds are those from which on targets state that they leave, or ask for a rest.
	statementSeeds = 9000
	// cutSeeds are those from which on VMs are cut from all targets.
	cutSeeds = 10000
	// restoreSeeds are those from which on the store is restored from copies.
	restoreSeeds = 11000
	// unevenSeeds are those from which on targets state their load, and an account may run in one region.
	unevenSeeds = 12000
	// healTime is how long a VM may take to serve after all faults have ended.
	healTime = 30 * time.Second
)

// Callers, targets and operators go on while processes are stopped, paused, killed and
// restarted, connections are delayed, reset, swallowed and refused, and the store is
// away, in series and overlapping. No promise is broken, and all VMs serve afterwards.
func TestSoak(t *testing.T) {
	program := buildEntry(t)
	for i := range *seeds {
		seed := *first + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { soak(t, program, seed) })
	}
}

// The same with targets that start again under their ID, late entries of the start before,
// and entries that no target wrote.
func TestSoakOfStartsAndEntries(t *testing.T) {
	soak(t, buildEntry(t), laterHarms)
}

// The same with requests that end each target that runs them and come again at any VM.
func TestSoakOfRequestsThatEndTargets(t *testing.T) {
	soak(t, buildEntry(t), crashingRequests)
}

// The same with client accounts: keys that are taken away and come back, one that nobody holds, and
// a quota that callers exceed.
func TestSoakOfAccounts(t *testing.T) {
	soak(t, buildEntry(t), accountSeeds)
}

// The same with a target that limits the requests of all VMs together.
func TestSoakOfLimitedTarget(t *testing.T) {
	soak(t, buildEntry(t), limitSeeds)
}

// The same with limits that shrink, grow, are malformed or are stated by all targets of a service.
func TestSoakOfChangingLimits(t *testing.T) {
	soak(t, buildEntry(t), changingLimitSeeds)
}

// The same with targets that say in their answers that they leave, or refuse requests and ask for a rest,
// one of them or all of a service.
func TestSoakOfLeavingAndRestingTargets(t *testing.T) {
	soak(t, buildEntry(t), statementSeeds)
}

// The same with VMs that lose all targets, one, a failure domain or all.
func TestSoakOfVMsCutFromTargets(t *testing.T) {
	soak(t, buildEntry(t), cutSeeds)
}

// The same with a store that is restored from older copies of itself.
func TestSoakOfRestoredStore(t *testing.T) {
	soak(t, buildEntry(t), restoreSeeds)
}

// world is the processes and stand-ins of one run.
type world struct {
	t        *testing.T
	seed     uint64
	random   *rand.Rand
	kv       *memkv.Store
	store    *platformtest.Store
	operator platformtest.Operator
	// registering is held while a target is registered: some start again by themselves.
	registering sync.Mutex
	ledger      *platformtest.ExecutionLog
	targets     []*platformtest.Target
	// paths stand before targets, storePaths before the store, one for each VM.
	paths, storePaths []*proxy
	processes         []*process
	// pids has the process ID of each VM by its name.
	pids     sync.Map
	version  int
	faults   map[string]int
	timeline *timeline
	// draining has the registered state of each target, copied is the last copy of the store.
	draining []bool
	copied   *memkv.Snapshot
	// keyGone is set while the configuration lacks movingKey.
	keyGone bool
	// limitStated is set while limitedTarget states its limit.
	limitStated bool
	// disturbed lists when VMs were stopped, paused or cut off.
	disturbed disturbances
	// checked counts promises: what the answer to one request may say.
	checked int
}

func soak(t *testing.T, program string, seed uint64) {
	w := newWorld(t, program, seed)
	seen := &journal{began: w.timeline.began}
	ctx, stop := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for i := range callers {
		c := &caller{name: fmt.Sprintf("c%d-%d", seed, i), random: rand.New(rand.NewPCG(seed, uint64(i))), vms: w.processes, journal: seen, key: w.keyOf(i)}
		all.Go(func() { c.run(ctx) })
	}
	w.waitServing("before any fault")
	w.startBound(ctx, &all, seen)
	bad := w.startRepeats(ctx, &all)
	w.limitTarget()
	end := time.Now().Add(time.Duration(*seconds) * time.Second)
	for time.Now().Before(end) {
		w.harm()
		time.Sleep(time.Duration(w.random.IntN(500)) * time.Millisecond)
	}
	w.heal()
	w.waitServing("after all faults")
	bad.check()
	w.checkBound(seen)
	w.checkTargetLimit()
	w.checkChangedLimits()
	w.checkLeavingAndRest()
	w.checkCut()
	w.checkRestore()
	stop()
	all.Wait()
	w.check(seen)
	w.checkAccounts(seen)
	w.checkStatements(seen)
	w.checkUneven(seen)
	if *plotTo != "" {
		w.must(w.timeline.write(seen.all, filepath.Join(*plotTo, fmt.Sprintf("seed-%d.png", seed))))
	}
}

func newWorld(t *testing.T, program string, seed uint64) *world {
	t.Helper()
	return newWorldOf(t, program, seed, platformtest.VMSettings{})
}

// newWorldOf starts VMs whose other settings are given.
func newWorldOf(t *testing.T, program string, seed uint64, settings platformtest.VMSettings) *world {
	t.Helper()
	return newWorldOfSize(t, program, seed, settings, size{vms: *vms, targets: targetsPerService, work: work})
}

// size is that of a world: VMs, targets of each service, and the time that they take for a request.
type size struct {
	vms, targets int
	work         time.Duration
}

// newWorldOfSize starts VMs and targets.
func newWorldOfSize(t *testing.T, program string, seed uint64, settings platformtest.VMSettings, size size) *world {
	t.Helper()
	w := &world{
		t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 0)), kv: memkv.New(memkv.Options{}), ledger: platformtest.NewExecutionLog(),
		faults: make(map[string]int), timeline: &timeline{began: time.Now()}, draining: make([]bool, 2*size.targets),
	}
	w.operator = platformtest.Operator{KV: w.kv}
	w.store = platformtest.NewStore(w.kv)
	t.Cleanup(w.store.Close)
	w.configure()
	names := []string{"n1", "n2", "s1"}
	for i := range 2 * size.targets {
		target := platformtest.NewTarget(fmt.Sprintf("i-%d", i), fmt.Sprintf("s%d", i%2), names[i%3], size.work, w.ledger)
		t.Cleanup(target.Close)
		path := w.path(target.Address())
		path.vmOf = w.vmOf
		w.targets, w.paths = append(w.targets, target), append(w.paths, path)
		w.must(w.operator.Register(target, path.address(), false))
	}
	w.stateLoads()
	dir := *keepLogs
	if dir == "" {
		dir = t.TempDir()
	} else {
		dir = filepath.Join(dir, fmt.Sprint(seed))
		w.must(os.MkdirAll(dir, 0o755))
	}
	for i := range size.vms {
		path := w.path(w.store.Address())
		w.storePaths = append(w.storePaths, path)
		zone := names[i%3]
		vm := settings
		vm.Name, vm.Zone, vm.Region, vm.Zones = fmt.Sprintf("vm-%d", i), zone, regions[zone], regions
		vm.Store, vm.Grace, vm.Rotation = path.address(), 6, int(rotation/time.Second)
		p := newProcess(t, program, dir, vm, &w.pids)
		t.Cleanup(p.stop)
		w.processes = append(w.processes, p)
	}
	return w
}

func (w *world) path(upstream string) *proxy {
	w.t.Helper()
	p, err := startProxy(upstream)
	w.must(err)
	w.t.Cleanup(p.close)
	return p
}

func (w *world) must(err error) {
	w.t.Helper()
	if err != nil {
		w.t.Fatal(err)
	}
}

// configure writes the next version: look-ups go to one service by turns, orders to
// both, each under its own route.
func (w *world) configure() {
	w.version++
	routes := []platformtest.Route{
		{Name: "look", Host: host, Prefix: "/look/", Kind: platformtest.Safe, Service: fmt.Sprintf("s%d", w.version%2)},
		{Name: "order", Host: host, Prefix: "/order/", Kind: platformtest.NonIdempotent, Service: "s0"},
	}
	if w.seed >= unevenSeeds {
		routes = append(routes, platformtest.Route{
			Name: "crowd", Host: host, Prefix: crowdPrefix, Kind: platformtest.NonIdempotent, Service: "s0", Timeout: crowdTime.Seconds(),
		})
	}
	if w.seed < accountSeeds {
		w.must(w.operator.Configure(w.version, routes, "s0", "s1"))
		return
	}
	w.must(w.operator.ConfigureAccounts(w.version, w.accounts(), routes, "s0", "s1"))
}

// harm is a fault, or the end of one.
type harm struct {
	name string
	do   func()
}

// harm injects one fault, or ends one.
func (w *world) harm() {
	harms := []harm{
		{"path to a target", func() { w.pathFault(w.paths) }},
		{"path to the store", func() { w.pathFault(w.storePaths) }},
		{"connections reset", func() { w.disturbed.all(); w.paths[w.random.IntN(len(w.paths))].resetAll() }},
		{"process killed", func() { p := w.anyProcess(); p.kill(); p.start(); w.disturbed.vm(p.vm.Name) }},
		{"process paused", w.pause},
		{"process stopped as planned", w.planned},
		{"settings signal", func() { w.anyProcess().signal(syscall.SIGHUP) }},
		{"answers lost", func() { w.targets[w.random.IntN(len(w.targets))].SetResponseLossRate(w.random.Float64() / 2) }},
		{"store fails", w.failStore},
		{"store well", func() { w.store.SetFaults(nil) }},
		{"configuration", w.configure},
		{"target drains", w.drain},
	}
	if w.seed >= laterHarms {
		harms = append(harms, harm{"target starts again under its ID", w.restart}, harm{"foreign entry", w.forge})
	}
	if w.seed >= limitSeeds {
		harms = append(harms, harm{"limit withdrawn or stated", w.toggleLimit})
	}
	if w.seed >= changingLimitSeeds {
		harms = append(harms, harm{"limits changed", w.changeLimits})
	}
	if w.seed >= statementSeeds {
		harms = append(harms, harm{"target leaves by its answers", w.leave}, harm{"targets rest", w.rest}, harm{"rests end", w.endRests})
	}
	if w.seed >= cutSeeds {
		harms = append(harms, harm{"VMs cut from all targets", w.cutVMs})
	}
	if w.seed >= restoreSeeds {
		harms = append(harms, harm{"store copied", w.copyStore}, harm{"store restored", w.restoreStore})
	}
	if w.seed >= accountSeeds {
		harms = append(harms, harm{"key moved", func() { w.keyGone = !w.keyGone; w.configure() }})
	}
	h := harms[w.random.IntN(len(harms))]
	w.faults[h.name]++
	w.timeline.mark()
	h.do()
}

func (w *world) anyProcess() *process { return w.processes[w.random.IntN(len(w.processes))] }

func (w *world) pathFault(paths []*proxy) {
	m := mode(w.random.IntN(int(modes)))
	w.faults["mode "+m.String()]++
	w.disturbed.all()
	paths[w.random.IntN(len(paths))].set(m)
}

func (w *world) pause() {
	p := w.anyProcess()
	p.signal(syscall.SIGSTOP)
	time.Sleep(time.Duration(w.random.IntN(1500)) * time.Millisecond)
	p.signal(syscall.SIGCONT)
	w.disturbed.vm(p.vm.Name)
}

// planned stops a process while callers go on using their connections to it.
func (w *world) planned() {
	p := w.anyProcess()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.gone:
	case <-time.After(time.Duration(p.vm.Grace) * time.Second):
		p.kill()
	}
	p.start()
	w.disturbed.vm(p.vm.Name)
}

func (w *world) failStore() {
	fault := []platformtest.Fault{platformtest.Unavailable, platformtest.RateLimited, platformtest.ResponseLost, platformtest.NoResponse, platformtest.HistoryGone}[w.random.IntN(5)]
	share := w.random.Float64()
	random := rand.New(rand.NewPCG(w.random.Uint64(), 0))
	var mu sync.Mutex
	w.store.SetFaults(func(string) platformtest.Fault {
		mu.Lock()
		defer mu.Unlock()
		if random.Float64() < share {
			return fault
		}
		return platformtest.None
	})
}

func (w *world) drain() {
	i := w.random.IntN(len(w.targets))
	w.register(i, w.random.IntN(2) == 0)
}

// register writes the entry of a target.
func (w *world) register(i int, draining bool) {
	w.registering.Lock()
	defer w.registering.Unlock()
	w.draining[i] = draining
	if err := w.operator.Register(w.targets[i], w.paths[i].address(), draining); err != nil {
		w.t.Errorf("target %d not registered: %v", i, err)
	}
}

// restart begins a new start of a target. Its entry, or one of the start before, may come.
func (w *world) restart() {
	i := w.random.IntN(len(w.targets))
	before := w.targets[i].Restart()
	w.register(i, false)
	if w.random.IntN(2) == 0 {
		w.registering.Lock()
		defer w.registering.Unlock()
		w.must(w.operator.RegisterWithStart(w.targets[i], "127.0.0.1:1", false, before))
	}
}

// forge writes what no target writes under the key of one.
func (w *world) forge() {
	values := []any{"?", nil, []int{1}, map[string]any{"state": "ready"}, map[string]any{"service": 7, "address": "here"}}
	w.registering.Lock()
	defer w.registering.Unlock()
	w.must(w.operator.WriteRaw(w.targets[w.random.IntN(len(w.targets))], values[w.random.IntN(len(values))]))
}

func (w *world) heal() {
	w.store.SetFaults(nil)
	if w.seed >= cutSeeds {
		w.healCuts()
	}
	for _, p := range append(append([]*proxy(nil), w.paths...), w.storePaths...) {
		p.set(pass)
		p.resetAll()
	}
	for i, target := range w.targets {
		target.SetResponseLossRate(0)
		if w.seed >= statementSeeds {
			target.Restart()
		}
		w.register(i, false)
	}
}

// waitServing returns when each VM has served an order in the newest version.
func (w *world) waitServing(when string) {
	w.t.Helper()
	seen := &journal{}
	for i, p := range w.processes {
		c := &caller{name: fmt.Sprintf("%s %d", when[:5], i), random: w.random, vms: w.processes[i : i+1], journal: seen, key: w.keyOf(0)}
		for began := time.Now(); ; {
			c.sent++
			c.drop()
			if o := c.ask(fmt.Sprintf("wait-%s-%d-%d", when[:2], i, c.sent), true); o.status == http.StatusOK {
				break
			}
			if time.Since(began) > healTime {
				w.t.Fatalf("%s %s serves nothing", p.vm.Name, when)
			}
			time.Sleep(50 * time.Millisecond)
		}
		c.drop()
	}
}

// check compares what callers saw with what targets did.
func (w *world) check(seen *journal) {
	w.t.Helper()
	counts := map[string]int{}
	for _, o := range seen.all {
		runs := w.ledger.Executions(o.id)
		counts[fmt.Sprintf("answers %3d", o.status)]++
		if o.order || o.status == http.StatusOK {
			w.checked++
		}
		switch {
		case o.order && len(runs) > 1:
			w.t.Errorf("order %s ran %d times: %+v", o.id, len(runs), runs)
		case o.order && isPromise(o.status) && len(runs) > 0:
			w.t.Errorf("order %s was answered %d and ran: %+v", o.id, o.status, runs)
		case o.status == http.StatusOK && (!o.own || o.body != platformtest.ResponseBody(o.id) || len(runs) == 0):
			w.t.Errorf("%s got another answer: %+v, runs %+v", o.id, o, runs)
		case o.status == http.StatusNotFound:
			w.t.Errorf("%s was denied a route that was always there", o.id)
		}
		for _, r := range runs {
			if o.order && r.Service != "s0" {
				w.t.Errorf("order %s ran in %s", o.id, r.Service)
			}
		}
	}
	counts["promises checked"] = w.checked
	w.report(counts, len(seen.all))
}

// isPromise reports whether a status says that the request did not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func (w *world) report(counts map[string]int, requests int) {
	for name, n := range w.faults {
		counts["fault "+name] = n
	}
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	sort.Strings(names)
	w.t.Logf("%d requests", requests)
	for _, name := range names {
		w.t.Logf("%-40s %d", name, counts[name])
	}
}
