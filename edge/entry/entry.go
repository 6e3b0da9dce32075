package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/api/wait"
	"github.com/yuccaroute/yuccaroute/edge/catalog"
	"github.com/yuccaroute/yuccaroute/edge/exchange"
	"github.com/yuccaroute/yuccaroute/edge/gateway"
	"github.com/yuccaroute/yuccaroute/edge/owners"
	"github.com/yuccaroute/yuccaroute/edge/peers"
	"github.com/yuccaroute/yuccaroute/edge/placing"
	"github.com/yuccaroute/yuccaroute/edge/quarantine"
	"github.com/yuccaroute/yuccaroute/edge/registry"
	"github.com/yuccaroute/yuccaroute/edge/replica"
	"github.com/yuccaroute/yuccaroute/edge/serve"
	"github.com/yuccaroute/yuccaroute/edge/site"
	"github.com/yuccaroute/yuccaroute/httpserver/scrape"
	"github.com/yuccaroute/yuccaroute/proxy/buffer"
)

const (
	// bodyShare of the memory may hold request bodies.
	bodyShare = 0.25
	// answerBytes bounds one answer of a target.
	answerBytes = 16 << 20
	// maintainEvery is how often lines, peers and suspects are looked at.
	maintainEvery = 100 * time.Millisecond
	// lineEvery is the same while requests wait.
	lineEvery = 10 * time.Millisecond
	// metricsEvery is how often the metrics page is brought up to date.
	metricsEvery = 2 * time.Second
	// stopTaking is how long after a planned stop began new requests are taken:
	// callers ask the directory again within it.
	stopTaking = 3 * time.Second
	// exitMargin is how long before the end of the grace time the process exits.
	exitMargin = 300 * time.Millisecond
	// stopPoll is how often a stop looks whether all answers are given.
	stopPoll = 20 * time.Millisecond
)

// Entry is a running VM.
type Entry struct {
	options   Options
	log       *logrus.Logger
	delays    *delays
	members   *peers.Members
	balancer  *placing.Balancer
	gateway   *gateway.Gateway
	replica   *replica.Replica
	snapshots *snapshots
	catalog   *catalog.Catalog
	talk      *exchange.Exchange
	metrics   *scrape.Metrics
	counts    *counts
	owners    *owners.Table
	// quarantine knows the requests that end targets.
	quarantine *quarantine.Quarantine
	// front serves callers, peer other VMs.
	front       *serve.Server
	peer        *serve.Server
	servers     []*serve.Server
	leaving     atomic.Bool
	digests     *peers.DigestMonitor
	regionState *regionState
	stop        context.CancelFunc
	// unlist ends the registration.
	unlist context.CancelFunc
}

// Start runs a VM until Leave or Close. It returns an error if an address cannot
// be bound.
func Start(o Options) (*Entry, error) {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{options: o, log: o.Logger, stop: cancel}
	now := time.Now()
	e.digests = peers.NewDigestMonitor(now)
	e.regionState = &regionState{log: e.part("entry")}
	e.delays = newDelays(o.VM.Region)
	e.members = peers.New(o.VM, now)
	e.metrics = scrape.New(o.VM.Name, metricsEvery)
	e.counts = newCounts(e.metrics.Scope)
	e.owners = owners.New(o.VM)
	e.balancer = placing.New(placing.Options{
		VM: o.VM.Name, Zone: o.VM.Zone, Region: o.VM.Region, RegionOf: o.RegionOf, RTT: e.delays.get,
	})
	e.quarantine = quarantine.New(quarantine.Options{
		VM: o.VM.Name, KV: o.KV, Keys: o.QuarantineKeys, Logger: e.part("quarantine"), EventAdded: e.urgent,
	})
	e.gateway = gateway.New(gateway.Options{
		Fields: o.Names.Fields, Balancer: e.balancer, Logger: e.part("gateway"), Metrics: e.counts,
		RetryRatio: o.RetryRatio, RetryExtra: o.RetryExtra, VMCount: e.members.Count, RTT: e.delays.get,
		InFlightChanged: e.changed, Owners: e.owners, Quarantine: e.quarantine, MaxAnswerBytes: answerBytes,
	})
	e.catalog = catalog.New(catalog.Options{Codec: o.Codec, Logger: e.part("catalog"), Changed: e.setView, Now: time.Now})
	e.replica = replica.New(replica.Options{
		KV: o.KV, Logger: e.part("replica"), Prefix: o.Names.WatchPrefix, Changed: e.apply, FetchFrom: fetchSnapshot,
		Watches: func() bool { return e.members.ShouldWatch(time.Now()) },
		Leads:   func() bool { return e.members.IsWatchLeader(time.Now()) },
		First:   func() bool { return e.members.IsDefaultWatcher(time.Now()) },
	})
	e.snapshots = &snapshots{replica: e.replica, log: e.part("replica")}
	if err := e.listen(ctx); err != nil {
		e.Close()
		return nil, err
	}
	e.listenMetrics()
	if err := e.register(ctx); err != nil {
		e.Close()
		return nil, err
	}
	go e.replica.Run(ctx)
	go e.maintain(ctx)
	e.part("entry").WithFields(logrus.Fields{"vm": o.VM.Name, "zone": o.VM.Zone, "region": o.VM.Region}).Info("entry: started")
	return e, nil
}

func (e *Entry) part(name string) *logrus.Entry { return e.log.WithField("part", name) }

// changed tells the other VMs soon.
func (e *Entry) changed() {
	if e.talk != nil {
		e.talk.RequestReport()
	}
}

// urgent tells the VMs of all regions soon.
func (e *Entry) urgent() {
	if e.talk != nil {
		e.talk.RequestUrgentReport()
	}
}

// apply takes changes of the store's items in.
func (e *Entry) apply(changes []replica.Change) {
	if others := e.quarantine.Apply(time.Now(), changes); len(others) > 0 {
		e.catalog.Apply(others)
	}
}

func (e *Entry) listen(ctx context.Context) error {
	talk, err := exchange.Start(ctx, exchange.Options{
		Address: e.options.PeerAddress, Logger: e.part("exchange"), State: e.state, Digest: e.digest,
		Recipients: e.recipients, RelayTo: e.relayTo, Received: e.received(ctx),
	})
	if err != nil {
		return err
	}
	e.talk = talk
	memory := buffer.NewBudget(int64(bodyShare * float64(e.options.MemoryBytes))).NewShare()
	listeners := []struct {
		address string
		handler serve.Handler
		limits  func() serve.Limits
	}{
		{e.options.EntryAddress, e.gateway.Handle, e.limits},
		{e.options.ReadyAddress, e.handleReady, e.limits},
		{e.options.DirectoryAddress, e.handleResolve, e.limits},
		{e.options.PeerAddress, e.handlePeer, e.peerLimits},
	}
	for _, l := range listeners {
		if l.address == "" {
			continue
		}
		s, err := serve.Start(serve.Options{
			Address: l.address, Handler: l.handler, Limits: l.limits, Memory: memory,
			Logger: e.part("serve"), MaxConnections: e.options.MaxConnections,
		})
		if err != nil {
			return err
		}
		if e.front == nil {
			e.front = s
		}
		if l.address == e.options.PeerAddress {
			e.peer = s
		}
		e.servers = append(e.servers, s)
	}
	return nil
}

// listenMetrics shows the metrics on a port of their own. A port that is taken must not
// keep the VM from serving callers.
func (e *Entry) listenMetrics() {
	if e.options.MetricsAddress == "" {
		return
	}
	s, err := serve.Start(serve.Options{
		Address: e.options.MetricsAddress, Handler: e.handleMetrics, Limits: e.limits, Logger: e.part("serve"),
	})
	if err != nil {
		e.part("entry").WithError(err).Warn("entry: no port for the metrics")
		return
	}
	e.servers = append(e.servers, s)
}

func (e *Entry) register(ctx context.Context) error {
	listed, err := registry.New(e.options.KV, e.options.Names.VMKey, e.options.VM, e.replica, e.part("registry"))
	if err != nil {
		return err
	}
	own, cancel := context.WithCancel(ctx)
	e.unlist = cancel
	go listed.Run(own)
	go e.watchListing(own, listed)
	return nil
}

// watchListing registers anew when the store's list lacks this VM.
func (e *Entry) watchListing(ctx context.Context, listed *registry.Registry) {
	for wait.For(ctx, registry.TTL) {
		if _, loaded := e.replica.At(); loaded && !e.isListed() {
			listed.Missing()
		}
	}
}

func (e *Entry) isListed() bool {
	for _, vm := range e.catalog.View().VMs {
		if vm.Name == e.options.VM.Name && vm.Incarnation == e.options.VM.Incarnation {
			return true
		}
	}
	return false
}

// setView puts what the store says in force.
func (e *Entry) setView(v *catalog.View) {
	now := time.Now()
	e.members.Register(v.VMs, now)
	// Before the targets: what this VM may send to cold ones depends on the others.
	e.tellVMs(now)
	e.gateway.SetView(v, now)
	for _, vm := range e.members.Others() {
		e.delays.measure(vm.Region, vm.PeerAddress)
	}
}

// tellVMs tells the board among which VMs work is divided.
func (e *Entry) tellVMs(now time.Time) {
	names := e.members.WorkSharers(now)
	e.regionState.setSharers(names)
	e.balancer.SetVMs(names)
	if live, known := e.members.LiveInDomain(now); known && !e.leaving.Load() {
		e.owners.SetVMs(live, func(vm site.VM) bool { return e.members.IsResponsive(vm, now) })
	}
	e.balancer.SetKeyOwnerCount(e.owners.EffectiveVMs())
}

// busy returns the requests of callers and other VMs whose answers are not wholly given.
func (e *Entry) busy() int { return e.front.InFlight() + e.peer.InFlight() }

// serving reports whether callers may be sent here.
func (e *Entry) serving() bool { return e.gateway.Ready() && !e.leaving.Load() }

// maintain looks at what changes with the time.
func (e *Entry) maintain(ctx context.Context) {
	last := time.Now()
	for {
		pause := maintainEvery
		if e.balancer.Waiting() > 0 {
			pause = lineEvery
		}
		if !wait.For(ctx, pause) {
			return
		}
		now := time.Now()
		e.balancer.Tick(now)
		if now.Sub(last) < maintainEvery {
			continue
		}
		last = now
		e.catalog.Expire(now)
		e.tellVMs(now)
		e.quarantine.Tick(ctx, now, e.members.IsWatchLeader(now))
		e.counts.setQuarantine(e.quarantine.Counts())
		e.gateway.Probe(ctx, e.healthPath)
	}
}

func (e *Entry) healthPath(service string) string {
	if c := e.catalog.View().Config; c != nil {
		return c.Services[service].HealthPath
	}
	return "/"
}

// Shutdown is a planned stop: callers are sent elsewhere, the requests in flight end,
// and the VM is off the list. It returns when the process may exit.
func (e *Entry) Shutdown() {
	began := time.Now()
	e.leaving.Store(true)
	e.part("entry").WithField("busy", e.busy()).Info("entry: leaving")
	e.talk.Flush()
	e.unlist()
	e.front.DisableKeepAlives()
	time.Sleep(stopTaking)
	e.gateway.Leave()
	e.front.StopListening()
	e.front.CloseIdle()
	until := began.Add(e.options.Grace - exitMargin)
	for e.busy() > 0 && time.Now().Before(until) {
		time.Sleep(stopPoll)
	}
	// Answers that were just given are still on their way.
	time.Sleep(min(exitMargin, max(0, time.Until(until))))
	e.part("entry").WithFields(logrus.Fields{"busy": e.busy(), "ms": time.Since(began).Milliseconds()}).Info("entry: stopped")
	e.Close()
}

// Close ends everything at once.
func (e *Entry) Close() {
	e.stop()
	if e.unlist != nil {
		e.unlist()
	}
	for _, s := range e.servers {
		s.Close()
	}
	_ = e.metrics.Closer.Close()
}
