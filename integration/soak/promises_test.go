package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/platform/platformtest"
)

var (
	orderRate   = flag.Int("orders", 100, "orders a second of TestSoakOfPromises")
	promiseVMs  = flag.Int("promise-vms", 8, "entry VMs of TestSoakOfPromises")
	foreignRate = flag.Float64("foreign", 0.05, "share of the runs of TestSoakOfPromises before whose answer one that belongs to no request comes")
	targetCount = flag.Int("promise-targets", 9, "targets of orders of TestSoakOfPromises")
)

const (
	promiseSeed = 14000
	// promiseWork is how long an order runs.
	promiseWork = 80 * time.Millisecond
	// refusedOrders of the orders are refused at a target, copiedRefusals of the refusals come twice.
	refusedOrders  = 0.4
	copiedRefusals = 0.05
	// ordersOfCaller is how many orders a caller sends in a second.
	ordersOfCaller = 4
	// orderKeys is the number of affinity keys of orders.
	orderKeys = 100
	// harmPause is the mean time between two harms of VMs.
	harmPause = 400 * time.Millisecond
	// maxPause bounds how long a VM is paused, cutTime is how long one is cut from all targets.
	maxPause = 1200 * time.Millisecond
	cutTime  = 1500 * time.Millisecond
)

// Targets refuse orders, send refusals twice and bytes of no request, while VMs are killed, paused, stopped and cut from
// targets, so that orders pass several VMs. No order may run that was answered as not run, and none twice.
func TestSoakOfPromises(t *testing.T) {
	program := buildEntry(t)
	for i := range *seeds {
		seed := promiseSeed + *first - 1 + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { soakPromises(t, program, seed) })
	}
}

func soakPromises(t *testing.T, program string, seed uint64) {
	w := newWorldOfSize(t, program, seed, platformtest.VMSettings{}, size{vms: *promiseVMs, targets: *targetCount, work: promiseWork})
	origins := &origins{world: w}
	for _, path := range w.paths {
		path.vmOf = origins.vmOf
	}
	w.version++
	w.must(w.operator.Configure(w.version, []platformtest.Route{
		{Name: "order", Host: host, Prefix: "/order/", Kind: platformtest.NonIdempotent, Service: "s0"},
		{Name: "look", Host: host, Prefix: "/look/", Kind: platformtest.Safe, Service: "s1"},
	}, "s0", "s1"))
	w.waitServing("before any trouble")
	for i, target := range w.targets {
		if i%2 == 0 {
			target.SetRefusals(refusedOrders, copiedRefusals)
			target.SetForeignBytes(*foreignRate)
		}
	}
	seen := &journal{began: w.timeline.began}
	ctx, stop := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for i := range max(1, *orderRate/ordersOfCaller) {
		c := &caller{
			name: fmt.Sprint("order-", i), random: rand.New(rand.NewPCG(seed, uint64(i))), vms: w.processes, journal: seen,
			affinity: fmt.Sprint(i % orderKeys),
		}
		all.Go(func() { c.runPaced(ctx, time.Second/ordersOfCaller) })
	}
	harms := &vmHarms{w: w, harmed: make(map[*process]bool)}
	for end := time.Now().Add(time.Duration(*seconds) * time.Second); time.Now().Before(end); {
		harms.next()
		time.Sleep(time.Duration(w.random.ExpFloat64() * float64(harmPause)))
	}
	harms.running.Wait()
	stop()
	all.Wait()
	w.checkPromises(seen)
}

// runPaced sends one order in each interval.
func (c *caller) runPaced(ctx context.Context, interval time.Duration) {
	time.Sleep(time.Duration(c.random.Int64N(int64(interval))))
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		c.sent++
		c.journal.add(c.ask(fmt.Sprintf("%s-%d", c.name, c.sent), true))
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	c.drop()
}

// vmHarms harms VMs. Harms overlap, but a VM has one at a time.
type vmHarms struct {
	w       *world
	running sync.WaitGroup
	mu      sync.Mutex
	harmed  map[*process]bool
}

// next begins one harm.
func (h *vmHarms) next() {
	w := h.w
	harms := []struct {
		name string
		do   func(p *process)
	}{
		{"VM killed", func(p *process) { p.kill(); p.start() }},
		{"VM paused", h.pause(time.Duration(w.random.Int64N(int64(maxPause))))},
		{"VM stopped as planned", h.stop},
		{"VM cut, silent", h.cut(silent)},
		{"VM cut, severed", h.cut(severed)},
		{"VM cut, refused", h.cut(refuse)},
		{"connections reset", func(*process) { w.paths[rand.IntN(len(w.paths))].resetAll() }},
	}
	harm, p := harms[w.random.IntN(len(harms))], w.anyProcess()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.harmed[p] {
		return
	}
	h.harmed[p] = true
	w.faults[harm.name]++
	h.running.Go(func() {
		harm.do(p)
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.harmed, p)
	})
}

func (h *vmHarms) pause(d time.Duration) func(p *process) {
	return func(p *process) {
		p.signal(syscall.SIGSTOP)
		time.Sleep(d)
		p.signal(syscall.SIGCONT)
	}
}

func (h *vmHarms) stop(p *process) {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.gone:
	case <-time.After(time.Duration(p.vm.Grace) * time.Second):
		p.kill()
	}
	p.start()
}

// cut returns a harm that cuts a VM from all targets for a while.
func (h *vmHarms) cut(m mode) func(p *process) {
	return func(p *process) {
		h.setMode(p, m)
		time.Sleep(cutTime)
		h.setMode(p, pass)
	}
}

func (h *vmHarms) setMode(p *process, m mode) {
	for _, path := range h.w.paths {
		path.cut(p.vm.Name, m)
	}
}

// checkPromises reports orders that ran twice, or ran and were answered as not run, and answers that are not the caller's.
func (w *world) checkPromises(seen *journal) {
	w.t.Helper()
	refused, twice, mixed := 0, 0, 0
	counts := map[string]int{}
	for _, o := range seen.outcomes() {
		runs := w.ledger.Executions(o.id)
		counts[fmt.Sprintf("answers %3d", o.status)]++
		if isPromise(o.status) && len(runs) > 0 {
			refused++
		}
		if len(runs) > 1 {
			twice++
		}
		if o.status == http.StatusOK && (!o.own || o.body != platformtest.ResponseBody(o.id)) {
			mixed++
		}
	}
	w.report(counts, len(seen.all))
	if refused+twice+mixed > 0 {
		w.t.Errorf("of %d orders %d were answered as not run and ran, %d ran twice, %d got another answer", len(seen.all), refused, twice, mixed)
	}
	if counts["answers 200"] == 0 || counts["answers 503"] == 0 {
		w.t.Error("no orders were served, or none refused")
	}
}

// originsAge is how long the owners of sockets are taken from the last look.
const originsAge = 50 * time.Millisecond

// origins tells the VMs that have opened connections, of many connections at once.
type origins struct {
	world *world
	mu    sync.Mutex
	// vms are the VMs by the inodes of their sockets, looked up at lookedUp.
	vms      map[string]string
	lookedUp time.Time
}

// vmOf returns the VM that has opened a connection, "" for another process.
func (o *origins) vmOf(c net.Conn) string {
	inode := inodeOf(c.RemoteAddr(), c.LocalAddr())
	if inode == "" {
		return ""
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if name, ok := o.vms[inode]; ok || time.Since(o.lookedUp) < originsAge {
		return name
	}
	o.lookUp()
	return o.vms[inode]
}

// lookUp reads the sockets of all VMs. It must be called with mu held.
func (o *origins) lookUp() {
	o.vms, o.lookedUp = make(map[string]string), time.Now()
	o.world.pids.Range(func(vm, pid any) bool {
		folder := fmt.Sprintf("/proc/%d/fd", pid)
		// A process that ends meanwhile has no sockets.
		files, _ := os.ReadDir(folder)
		for _, f := range files {
			to, err := os.Readlink(filepath.Join(folder, f.Name()))
			if inode, ok := strings.CutPrefix(to, "socket:["); err == nil && ok {
				o.vms[strings.TrimSuffix(inode, "]")] = vm.(string)
			}
		}
		return true
	})
}
