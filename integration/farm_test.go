package integration

import (
	"cmp"
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/bench/check"
	"github.com/yuccaroute/yuccaroute/client"
	"github.com/yuccaroute/yuccaroute/membership"
	"github.com/yuccaroute/yuccaroute/standin/caller"
	"github.com/yuccaroute/yuccaroute/standin/loopback"
)

// The account that all tests use: the farmers' booking platform, with its
// bookings at most once.
const (
	account = model.AccountName("alpenvlies")
	service = model.ServiceName("termindienst")
)

// farm is a whole system under test with faults on its paths. Entries and
// targets are in the order of their paths.
type farm struct {
	t *testing.T
	// entryPaths stand before the entry VMs, targetPaths before the targets,
	// platformPath before the platform; nil where there is none.
	entryPaths   []*faultProxy
	targetPaths  []*faultProxy
	platformPath *faultProxy
	// entries, targets and platform are the processes; empty when all runs
	// within the test.
	entries  []*process
	targets  []*process
	platform *process
	// account has the limits to check, and entryRegions the regions of the
	// entry VMs; empty where the test sets no limits.
	account      *model.Account
	entryRegions map[string]model.RegionName
	leaving      []check.Leaving
	// soFar counts what callers were told by outcome.
	soFar [result.NotRun + 1]atomic.Int64
	// vms are the rows of the platform's list, targets first, and journals the
	// files of the targets' ledgers.
	platformAddress string
	vms             []membership.VM
	journals        []string
	// host is where all of the cluster listens, admins the entry VMs' addresses for
	// operators, targetAddresses those of the targets behind their paths.
	host                    *loopback.Host
	admins, targetAddresses []string
	// regions is what lies between the regions; nil where all callers are of
	// one region.
	regions *regions
	// ledger returns what ran at all targets, those that were killed included.
	ledger func() []check.Ran
}

// Bounds on the requests in hand; load beyond them is left out. Where the test
// itself does much of the work, as all of the system or many clusters are in it,
// there are few: a machine short of processor time then takes longer over the
// same number of requests instead of answering all after their deadlines, which
// shows as cases of which nearly nothing runs. The guard holds because a slow
// machine too answers so few within their deadline.
const (
	fewInFlight  = 32
	manyInFlight = 1000
)

// step is something that happens to the farm once so many requests have ended.
type step struct {
	after int
	do    func(*farm)
}

// load is what is sent while the steps happen.
type load struct {
	seed     uint64
	requests int
	rate     caller.Rate
	deadline time.Duration
	// inFlight bounds the requests in hand, 0 for manyInFlight.
	inFlight int
}

// outcome is what a run showed.
type outcome struct {
	told   []check.Told
	report *check.Report
	counts map[result.Outcome]int
	codes  map[result.Code]int
}

// kinds is the farmers' mix: availability checks, bookings, and some large
// bodies, so that cuts fall within requests.
func kinds() []caller.Kind {
	mixed := caller.Termindienst(nil).Kinds
	return append(mixed, caller.Kind{
		Method: "POST", Path: "/bookings", Class: model.NonIdempotent, Weight: 10,
		MinBody: 10 << 10, MaxBody: 60 << 10,
	})
}

// blocks are the callers' addresses. A fault proxy hides them from the entry
// VMs, so that all callers count as of one region there.
func (f *farm) blocks() []model.CallerBlock {
	all := caller.AlpenvliesBlocks()
	if f.regions != nil {
		return []model.CallerBlock{all[0], all[2]}
	}
	return all[:1]
}

// run sends the load, lets the steps happen and checks.
func (f *farm) run(l load, steps ...step) outcome {
	f.t.Helper()
	var recorder check.Recorder
	happen := f.follow(steps)
	var ended atomic.Int64
	callers, err := caller.New(caller.Options{
		Account: account, Nodes: f.nodes(), Blocks: f.blocks(), SourcesPerBlock: 4,
		Client: client.Options{MaxConnections: 128},
		Loads:  []caller.Load{{Service: service, Rate: l.rate, Kinds: kinds(), Deadline: l.deadline}},
		Seed:   l.seed, Name: f.t.Name(), MaxRequests: l.requests, MaxInFlight: cmp.Or(l.inFlight, manyInFlight), RepeatUnknown: true,
		Told: func(told check.Told) {
			recorder.AddTold(told)
			f.soFar[told.Outcome].Add(1)
			happen(int(ended.Add(1)))
		},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	callers.Run(context.Background())
	callers.Close()
	happen(stepsDone)
	return f.judge(recorder.Told())
}

// stepsDone waits for the steps that have begun.
const stepsDone = -1

// follow returns a function that is told the number of ended requests and lets
// the steps happen one after the other, beside the load.
func (f *farm) follow(steps []step) func(ended int) {
	reached := make(chan int, 1)
	var followers sync.WaitGroup
	followers.Go(func() {
		next := 0
		for ended := range reached {
			for next < len(steps) && ended >= steps[next].after {
				steps[next].do(f)
				next++
			}
		}
	})
	var once sync.Once
	return func(ended int) {
		if ended == stepsDone {
			once.Do(func() { close(reached) })
			followers.Wait()
			return
		}
		select {
		case reached <- ended:
		default:
		}
	}
}

func (f *farm) nodes() []string {
	if f.regions != nil {
		return f.regions.entries
	}
	var nodes []string
	for _, p := range f.entryPaths {
		nodes = append(nodes, p.address().String())
	}
	return nodes
}

// judge lets all faults end, reads the ledgers and checks.
func (f *farm) judge(told []check.Told) outcome {
	f.calm()
	in := check.Input{Told: told, Ran: f.settledLedger(), EntryRegions: f.entryRegions, Leaving: f.leaving, Bunching: clusterBunching}
	if f.account != nil {
		in.Accounts = []*model.Account{f.account}
	}
	o := outcome{
		told:   told,
		report: check.Check(in),
		counts: make(map[result.Outcome]int),
		codes:  make(map[result.Code]int),
	}
	for i := range told {
		o.counts[told[i].Outcome]++
		o.codes[told[i].Code]++
	}
	return o
}

// calm takes all faults off.
func (f *farm) calm() {
	for _, p := range append(append([]*faultProxy{}, f.targetPaths...), f.entryPaths...) {
		p.clear()
	}
	if f.platformPath != nil {
		f.platformPath.clear()
	}
	for _, p := range append(append([]*process{}, f.targets...), f.entries...) {
		p.resume()
	}
}

// processes are all that run the farm.
func (f *farm) processes() []*process {
	all := append(append([]*process{}, f.targets...), f.entries...)
	if f.platform != nil {
		all = append(all, f.platform)
	}
	return all
}

// end ends all processes.
func (f *farm) end() {
	for _, p := range f.processes() {
		p.kill()
	}
}

// quietRounds is how often in a row the ledger must be the same.
const quietRounds = 20

// settledLedger returns the ledger once nothing runs any more: a request that
// a fault held back could still run after its caller was told the outcome.
func (f *farm) settledLedger() []check.Ran {
	tick := time.NewTicker(pollEvery)
	defer tick.Stop()
	ran := f.ledger()
	for quiet := 0; quiet < quietRounds; quiet++ {
		<-tick.C
		now := f.ledger()
		if len(now) != len(ran) {
			quiet = 0
		}
		ran = now
	}
	return ran
}

// want checks that no promise was broken and that the faults showed: a fault
// that changes nothing proves nothing.
func (o *outcome) want(t *testing.T, least map[result.Outcome]int) {
	t.Helper()
	t.Logf("ran %d, not run %d, unknown %d; codes %v",
		o.counts[result.Ran], o.counts[result.NotRun], o.counts[result.Unknown], o.codes)
	if n := o.report.Violations(); n != 0 {
		t.Errorf("%d violations:\n%s", n, o.report)
	}
	if short := o.shortOf(least); short != "" {
		t.Error(short)
	}
}

// shortOf tells which of the least counts were not reached, "" for none.
func (o *outcome) shortOf(least map[result.Outcome]int) string {
	var short []string
	for which, n := range least {
		if o.counts[which] < n {
			short = append(short, fmt.Sprintf("%d requests %v, want at least %d", o.counts[which], which, n))
		}
	}
	return strings.Join(short, "; ")
}
