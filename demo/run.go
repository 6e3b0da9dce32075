package demo

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/bench/check"
	"github.com/yuccaroute/yuccaroute/client"
	"github.com/yuccaroute/yuccaroute/standin/caller"
)

// Options configure one run.
type Options struct {
	Scenario Scenario
	Duration time.Duration
	Seed     uint64
	// Progress receives the live lines, Logs the nodes' logs.
	Progress io.Writer
	Logs     io.Writer
	// Terminal tells that Progress is a terminal whose line can be rewritten.
	Terminal bool
}

const (
	// startTime bounds the start until every node serves.
	startTime = 30 * time.Second
	// callerConnections bounds one stand-in caller's connections to a node.
	callerConnections = 32
	callerInFlight    = 2000
	callerSources     = 8
)

// run is one run in progress.
type run struct {
	options  Options
	world    *World
	recorder check.Recorder
	progress *progress
	events   sync.WaitGroup
	// configuration watches the revisions on all nodes.
	configuration *configurationWatch
	// loadEnded is closed when callers send no more.
	loadEnded chan struct{}

	mu      sync.Mutex
	leaving []check.Leaving
	drained []Drained
	// stopped holds when the planned stop of an entry VM began.
	stopped map[string]time.Time
	// counts holds what the callers of each account sent.
	counts map[model.AccountName]caller.Counts
}

// Run plays a scenario and returns what it showed.
func Run(ctx context.Context, options Options) (*Report, error) {
	world, err := NewWorld(ctx, options.Seed, options.Logs)
	if err != nil {
		return nil, err
	}
	defer world.Close()
	r := &run{
		options:       options,
		world:         world,
		counts:        make(map[model.AccountName]caller.Counts),
		stopped:       make(map[string]time.Time),
		configuration: newConfigurationWatch(),
		loadEnded:     make(chan struct{}),
	}
	r.progress = newProgress(options.Progress, options.Terminal)
	r.progress.line("starting %d targets, %d entry VMs", world.countTargets(), world.countNodes())
	ready, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	if err := world.WaitReady(ready); err != nil {
		return nil, err
	}
	r.progress.line("serving; ask any node, for example: yuccaroute account list --node http://%s", world.Tenants[0].Nodes[0].AdminAddress())
	began := time.Now()
	if err := r.play(ctx); err != nil {
		return nil, err
	}
	return r.report(time.Since(began)), nil
}

// play sends the load and lets the events happen. When it returns nothing of
// the run goes on, so that the report reads what it left without a lock.
func (r *run) play(ctx context.Context) error {
	stopWatch := r.configuration.start(ctx, r.world)
	defer stopWatch()
	var senders sync.WaitGroup
	for i, t := range r.world.Tenants {
		callers, err := r.newCallers(t, uint64(i))
		if err != nil {
			return err
		}
		senders.Go(func() {
			defer callers.Close()
			r.addCounts(t.Account.Name, callers.Run(ctx))
		})
	}
	r.events.Go(func() { r.follow(ctx) })
	stopProgress := r.progress.watch(&r.recorder, r.options.Duration)
	senders.Wait()
	close(r.loadEnded)
	stopProgress()
	r.events.Wait()
	return r.settle(ctx)
}

// settle waits until every accepted change is in force or late.
func (r *run) settle(ctx context.Context) error {
	for r.configuration.pending(time.Now()) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(revisionPoll):
		}
	}
	return ctx.Err()
}

func (r *run) newCallers(t *Tenant, index uint64) (*caller.Callers, error) {
	var nodes []string
	for _, n := range t.Nodes {
		nodes = append(nodes, n.VM().Address.String())
	}
	return caller.New(caller.Options{
		Account:         t.Account.Name,
		Loads:           r.options.Scenario.loadsOf(t.Account.Name, r.options.Duration),
		Nodes:           nodes,
		Blocks:          t.Account.Callers,
		SourcesPerBlock: callerSources,
		Client:          client.Options{MaxConnections: callerConnections, Opened: delayCaller},
		MaxInFlight:     callerInFlight,
		Duration:        r.options.Duration,
		Seed:            r.options.Seed + index,
		Name:            "demo",
		RepeatUnknown:   true,
		Told:            r.recorder.AddTold,
	})
}

// follow lets the events happen at their times, until the load has ended.
func (r *run) follow(ctx context.Context) {
	began := time.Now()
	for _, e := range r.options.Scenario.Events {
		due := time.Duration(e.At * float64(r.options.Duration))
		select {
		case <-r.loadEnded:
			return
		case <-ctx.Done():
			return
		case <-time.After(due - time.Since(began)):
		}
		r.progress.line("%s", e.What)
		e.Do(ctx, r)
	}
}

func (r *run) addCounts(account model.AccountName, c caller.Counts) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[account] = c
}

func (r *run) addLeaving(l check.Leaving) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = append(r.leaving, l)
}

func (r *run) endLeaving(target string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.leaving {
		if r.leaving[i].Target == target {
			r.leaving[i].Until = at
		}
	}
}

func (r *run) addStopped(vm string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped[vm] = at
}

func (r *run) addDrained(d Drained) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drained = append(r.drained, d)
}
