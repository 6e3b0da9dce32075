package processes

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/goccy/go-json"

	"github.com/yuccaroute/yuccaroute/admin/client"
	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/bench/fit"
	"github.com/yuccaroute/yuccaroute/config/examples"
	"github.com/yuccaroute/yuccaroute/spread"
)

const (
	// seriesChanges is how many changes one series makes; the fault comes after
	// the first faultAfter of them.
	seriesChanges = 200
	faultAfter    = 50
	// changePause is from one change in force everywhere to the next.
	changePause = 20 * time.Millisecond
	// lookEvery is how often a node is asked what it has in force. The node
	// itself says since when, so it does not bound the precision.
	lookEvery = 10 * time.Millisecond
	// longestWait is when a change counts as lost on a node.
	longestWait = 20 * time.Second
	// Costs are read over costTime, with busyChanges made in it or none.
	costTime    = 10 * time.Second
	busyChanges = 20
	settleShort = 8 * time.Second
	// callsPerChange bounds the store calls of a change: those of the node that
	// takes it, and two of each of the six watchers, its watch and the document.
	// The number of nodes must not matter.
	callsPerChange = 20
	// sizeTime bounds the run of one size.
	sizeTime = 5 * time.Minute
)

// BenchmarkInForce measures the time from the answer that a change was accepted
// until the last node has it in force, with real processes: when nothing fails,
// with a relay that hangs (SIGSTOP) and with one that is killed.
func BenchmarkInForce(b *testing.B) {
	programs := build(b)
	points := map[string][]fit.Point{}
	for _, nodes := range []int{10, 20, 40, 60} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			measureInForce(b, programs, nodes, func(unit string, value float64) {
				points[unit] = append(points[unit], fit.Point{Size: float64(nodes), Value: value})
				b.ReportMetric(value, unit)
			})
		})
	}
	for unit, measured := range points {
		if f, err := fit.Check(measured); err == nil {
			b.Logf("%s: %.4g + %.4g n, spread %.0f %%, foretold %.4g, measured %.4g at %.0f",
				unit, f.Line.Intercept, f.Line.Slope, 100*f.Line.Spread, f.Foretold, f.Measured, f.Size)
		}
	}
}

func measureInForce(b *testing.B, programs programs, nodes int, report func(unit string, value float64)) {
	ctx, cancel := context.WithTimeout(context.Background(), sizeTime)
	defer cancel()
	f := newFleet(b, programs.tool, todayLayout, len(examples.Pairs()), 0)
	for i := range nodes {
		f.start(programs.daemon, i)
	}
	for i := range nodes {
		f.waitReady(i)
	}
	time.Sleep(settleShort)
	b.ReportMetric(0, "ns/op")
	c := newChanger(ctx, f)
	idle := c.cost("idle", 0, report)
	busy := c.cost("busy", busyChanges, report)
	calls := (busy.calls - idle.calls) / busyChanges
	report("store-calls/change", calls)
	report("B/change", (busy.bytes-idle.bytes)/busyChanges)
	if calls > callsPerChange {
		b.Errorf("a change takes %.1f calls of the store, at most %d are permitted", calls, callsPerChange)
	}
	c.series("quiet", nil, report)
	relay := c.relay()
	hung := f.commands[relay].Process
	before := c.sequenceOn(relay)
	c.series("hung", func() { c.leaveOut(relay); _ = hung.Signal(syscall.SIGSTOP) }, report)
	_ = hung.Signal(syscall.SIGCONT)
	c.takeBack(relay, before, report)
	killed := c.relay()
	c.series("killed", func() { c.leaveOut(killed); _ = f.commands[killed].Process.Kill() }, report)
}

// changer changes an account through one node and asks all for it.
type changer struct {
	f       *fleet
	ctx     context.Context
	account string
	nodes   []*client.Client
	// out are the nodes that a fault took away.
	out  map[int]bool
	made int
	// newest is the sequence of the last accepted change.
	newest uint64
	via    int
}

func newChanger(ctx context.Context, f *fleet) *changer {
	c := &changer{f: f, ctx: ctx, account: examples.DaehanAccount, out: map[int]bool{}}
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	f.b.Cleanup(transport.CloseIdleConnections)
	for i := range f.commands {
		c.nodes = append(c.nodes, client.New("http://"+address(i, adminPort), "", &http.Client{Transport: transport}))
	}
	return c
}

// change makes one change and returns when its acceptance was known.
func (c *changer) change() time.Time {
	c.made++
	text := strings.Replace(string(examples.Text(c.account)), "link_in_rps = 1800", fmt.Sprintf("link_in_rps = %d", 1000+c.made), 1)
	answer, err := c.nodes[c.via].Put(c.ctx, client.Account(c.account), client.Overwrite(),
		wire.ChangeRequest{ID: fmt.Sprintf("in-force-%05d", c.made), Text: text})
	accepted := time.Now()
	if err != nil {
		c.f.b.Fatalf("change %d: %v", c.made, err)
	}
	c.newest = answer.Change.Sequence
	return accepted
}

// wait returns when the node has the newest change in force, by the node's own
// clock, which is that of this machine.
func (c *changer) wait(node int) (time.Time, bool) {
	for begin := time.Now(); time.Since(begin) < longestWait && c.ctx.Err() == nil; time.Sleep(lookEvery) {
		live, err := c.nodes[node].LiveAccount(c.ctx, c.account)
		if err == nil && live.Sequence >= c.newest {
			return live.Since, true
		}
	}
	return time.Time{}, false
}

// waitAll returns when the last node had the newest change in force, and how
// many nodes never did.
func (c *changer) waitAll() (last time.Time, lost int) {
	var all sync.WaitGroup
	var mu sync.Mutex
	for node := range c.nodes {
		if c.out[node] {
			continue
		}
		all.Go(func() {
			since, ok := c.wait(node)
			mu.Lock()
			defer mu.Unlock()
			if !ok {
				lost++
			}
			if since.After(last) {
				last = since
			}
		})
	}
	all.Wait()
	return last, lost
}

// series makes changes one after the other, with a fault on the way.
func (c *changer) series(name string, fault func(), report func(string, float64)) {
	times := hdrhistogram.New(1, longestWait.Microseconds(), 3)
	lost := 0
	for i := range seriesChanges {
		if i == faultAfter && fault != nil {
			fault()
		}
		accepted := c.change()
		last, missing := c.waitAll()
		lost += missing
		_ = times.RecordValue(max(1, last.Sub(accepted).Microseconds()))
		time.Sleep(changePause)
	}
	ms := func(us int64) float64 { return float64(us) / 1000 }
	report(name+"-p50-ms", ms(times.ValueAtQuantile(50)))
	report(name+"-p99-ms", ms(times.ValueAtQuantile(99)))
	report(name+"-max-ms", ms(times.Max()))
	report(name+"-lost", float64(lost))
	if lost > 0 {
		c.f.b.Errorf("%s: %d times a node lacked an accepted change after %v", name, lost, longestWait)
	}
}

// used is what all nodes and the store used in a costTime.
type used struct{ calls, bytes float64 }

// cost reads what the nodes use while so many changes are made.
func (c *changer) cost(name string, changes int, report func(string, float64)) used {
	before, begin := c.f.read(), time.Now()
	for i := range changes {
		c.change()
		time.Sleep(time.Until(begin.Add(time.Duration(i+1) * costTime / time.Duration(changes))))
	}
	time.Sleep(time.Until(begin.Add(costTime)))
	after, seconds := c.f.read(), time.Since(begin).Seconds()
	perNode := seconds * float64(len(c.nodes))
	report(name+"-%core/node", 100*(after.processor-before.processor)/perNode)
	report(name+"-B/s/node", (after.loopback-before.loopback)/perNode)
	report(name+"-store-calls/s", float64(after.calls-before.calls)/seconds)
	report(name+"-waiting-watches", float64(after.waiting))
	scale := costTime.Seconds() / seconds
	return used{calls: float64(after.calls-before.calls) * scale, bytes: (after.loopback - before.loopback) * scale}
}

// relay chooses the relay with the most subscribers; where no relay has any,
// the watcher with the most. Changes go through another node afterwards.
func (c *changer) relay() int {
	found, most, byRelay := 0, -1, false
	for node := range c.nodes {
		if c.out[node] {
			continue
		}
		status := c.status(node)
		relays, subscribers := status.Role == "relay" && len(status.Subscribers) > 0, len(status.Subscribers)
		if relays && !byRelay || relays == byRelay && subscribers > most {
			found, most, byRelay = node, subscribers, relays
		}
	}
	c.via = (found + 1) % len(c.nodes)
	for c.out[c.via] {
		c.via = (c.via + 1) % len(c.nodes)
	}
	c.f.b.Logf("%d nodes: taking away %s, %s with %d subscribers", len(c.nodes), c.status(found).VM, c.status(found).Role, most)
	return found
}

func (c *changer) status(node int) spread.Status {
	var status struct {
		Spread spread.Status `json:"spread"`
	}
	response, err := http.Get("http://" + address(node, adminPort) + "/status")
	if err != nil {
		c.f.b.Fatal(err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
		c.f.b.Fatal(err)
	}
	return status.Spread
}

func (c *changer) leaveOut(node int) { c.out[node] = true }

func (c *changer) sequenceOn(node int) uint64 {
	live, err := c.nodes[node].LiveAccount(c.ctx, c.account)
	if err != nil {
		c.f.b.Fatal(err)
	}
	return live.Sequence
}

// takeBack waits until a node that hung has what was accepted meanwhile, and
// looks that it did not go back.
func (c *changer) takeBack(node int, before uint64, report func(string, float64)) {
	resumed := time.Now()
	if now := c.sequenceOn(node); now < before {
		c.f.b.Errorf("node %d went back from %d to %d", node, before, now)
	}
	since, ok := c.wait(node)
	if !ok {
		c.f.b.Errorf("node %d did not catch up within %v", node, longestWait)
	}
	report("resumed-ms", float64(since.Sub(resumed).Microseconds())/1000)
	delete(c.out, node)
}
