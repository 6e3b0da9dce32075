package entry

import (
	"cmp"
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/api/clock"
	"github.com/yuccaroute/yuccaroute/api/wait"
	"github.com/yuccaroute/yuccaroute/edge/broadcast"
	"github.com/yuccaroute/yuccaroute/edge/catalog"
	"github.com/yuccaroute/yuccaroute/edge/exchange"
	"github.com/yuccaroute/yuccaroute/edge/gateway"
	"github.com/yuccaroute/yuccaroute/edge/owners"
	"github.com/yuccaroute/yuccaroute/edge/peers"
	"github.com/yuccaroute/yuccaroute/edge/placing"
	"github.com/yuccaroute/yuccaroute/edge/quarantine"
	"github.com/yuccaroute/yuccaroute/edge/quota"
	"github.com/yuccaroute/yuccaroute/edge/registry"
	"github.com/yuccaroute/yuccaroute/edge/replica"
	"github.com/yuccaroute/yuccaroute/edge/serve"
	"github.com/yuccaroute/yuccaroute/edge/site"
	"github.com/yuccaroute/yuccaroute/httpserver/scrape"
	"github.com/yuccaroute/yuccaroute/proxy/buffer"
)

const (
	// bodyMemoryShare is the fraction of the memory limit that request bodies may use.
	bodyMemoryShare = 0.25
	// unreadMemoryShare is the fraction of the memory limit that responses may use which callers
	// have not read yet.
	unreadMemoryShare = 0.2
	// answerMemoryShare is the fraction of the memory limit that answers may use which are being read.
	answerMemoryShare = 0.2
	// maxResponseBytes limits the size of one target response.
	maxResponseBytes = 16 << 20
	// maintainInterval is the period of expiry, peer checks and health probes.
	maintainInterval = 100 * time.Millisecond
	// queueInterval replaces maintainInterval while requests are queued.
	queueInterval = 10 * time.Millisecond
	// busyDelay is how late the periodic work is if the processor is busy.
	busyDelay = 150 * time.Millisecond
	// metricsInterval is the refresh period of the metrics page.
	metricsInterval = 2 * time.Second
	// drainPeriod is how long new requests are still accepted after a shutdown began.
	// It exceeds directoryTTL, so callers have resolved other VMs by its end.
	drainPeriod = 3 * time.Second
	// exitMargin is how long before the end of the grace period the process exits.
	exitMargin = 300 * time.Millisecond
	// answerMargin is how long before the process exits the last requests are sent: those that still wait are
	// refused, and those that were sent have time to be answered.
	answerMargin = time.Second
	// drainPollInterval is how often a shutdown checks for requests in flight.
	drainPollInterval = 20 * time.Millisecond
)

// Entry is a running VM.
type Entry struct {
	options        Options
	log            *logrus.Logger
	roundTrips     *roundTrips
	members        *peers.Members
	balancer       *placing.Balancer
	gateway        *gateway.Gateway
	replica        *replica.Replica
	snapshots      *snapshots
	catalog        *catalog.Catalog
	outages        *catalog.Outages
	exchange       *exchange.Exchange
	metrics        *scrape.Metrics
	gatewayMetrics *gatewayMetrics
	configMetrics  *configMetrics
	owners         *owners.Table
	quarantine     *quarantine.Quarantine
	quota          *quota.Quota
	targetLimits   *targetLimits
	workingSets    *workingSets
	fairShares     *fairShares
	// leavingTargets are the incarnations of targets that leave, to be told to other VMs.
	leavingTargets broadcast.Queue[uint64]
	fleet          *fleet
	contact        *contact
	// callerServer accepts requests of callers, peerServer those of other VMs.
	callerServer *serve.Server
	peerServer   *serve.Server
	servers      []*serve.Server
	shuttingDown atomic.Bool
	digests      *peers.DigestMonitor
	regionState  *regionState
	regionPlans  *regionPlans
	stop         context.CancelFunc
	// deregister cancels the registration of this VM in the store.
	deregister context.CancelFunc
}

// Start runs a VM until Shutdown or Close. It returns an error if an address cannot
// be bound.
func Start(o Options) (*Entry, error) {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{options: o, log: o.Logger, stop: cancel}
	e.contact = newContact(clock.New(), o.RevokeTime)
	e.digests = peers.NewDigestMonitor(e.now())
	e.regionState = &regionState{log: e.component("entry")}
	e.roundTrips = newRoundTrips(o.VM.Region)
	e.members = peers.New(o.VM, e.now())
	e.metrics = scrape.New(o.VM.Name, metricsInterval)
	e.gatewayMetrics = newGatewayMetrics(e.metrics.Scope)
	e.configMetrics = newConfigMetrics(e.metrics.Scope)
	e.regionPlans = newRegionPlans(e.component("placing"), e.metrics.Scope)
	e.owners = owners.New(o.VM)
	e.balancer = placing.New(placing.Options{
		VM: o.VM.Name, Zone: o.VM.Zone, Region: o.VM.Region, RegionOf: o.RegionOf, RTT: e.roundTrips.get,
		Policy: o.Policy,
	})
	e.quarantine = quarantine.New(quarantine.Options{
		VM: o.VM.Name, KV: o.KV, Keys: o.QuarantineKeys, Logger: e.component("quarantine"), EventAdded: e.reportUrgent,
	})
	e.fleet = newFleet(o.FleetSizeKey, o.KV, e.contact.clock, e.component("fleet"))
	e.quota = e.newQuota()
	e.targetLimits = newTargetLimits(e)
	e.workingSets = newWorkingSets(e)
	e.fairShares = newFairShares(e)
	e.gateway = gateway.New(gateway.Options{
		Fields: o.Names.Fields, Name: o.VM.Name, Region: o.VM.Region, Balancer: e.balancer, Logger: e.component("gateway"), Metrics: e.gatewayMetrics,
		RetryRatio: o.RetryRatio, RetryExtra: o.RetryExtra, VMCount: e.members.Count, RTT: e.roundTrips.get,
		InFlightChanged: e.reportSoon, ReachChanged: e.reachChanged, Owners: e.owners, Quarantine: e.quarantine,
		TargetLimits: e.targetLimits, ReadStatement: o.Names.ReadStatement,
		TargetLeaves: func(incarnation uint64) { e.tellLeavingTarget(incarnation, false) },
		Quota:        e.quota, ConfigCurrent: e.contact.isCurrent, AccountsExpired: e.contact.isExpired, MaxAnswerBytes: maxResponseBytes,
		AnswerMemory: buffer.NewBudget(int64(answerMemoryShare * float64(e.options.MemoryBytes))).NewShare(),
	})
	e.outages = catalog.NewOutages(time.Now())
	e.catalog = catalog.New(catalog.Options{
		Codec: o.Codec, Logger: e.component("catalog"), Changed: e.setView, Outages: e.outages, Now: time.Now,
	})
	e.replica = replica.New(replica.Options{
		KV: o.KV, Logger: e.component("replica"), Prefix: o.Names.WatchPrefix, Changed: e.applyChanges, FetchSnapshot: fetchSnapshot,
		ShouldWatch:      func() bool { return e.members.ShouldWatch(e.now()) },
		IsWatchLeader:    func() bool { return e.members.IsWatchLeader(e.now()) },
		IsDefaultWatcher: func() bool { return e.members.IsDefaultWatcher(e.now()) },
	})
	e.snapshots = &snapshots{replica: e.replica, log: e.component("replica")}
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
	go e.targetLimits.answerAsks(ctx.Done())
	e.component("entry").WithFields(logrus.Fields{"vm": o.VM.Name, "zone": o.VM.Zone, "region": o.VM.Region}).Info("entry: started")
	return e, nil
}

func (e *Entry) component(name string) *logrus.Entry { return e.log.WithField("part", name) }

// reportSoon schedules an early report to the other VMs of the region.
func (e *Entry) reportSoon() {
	if e.exchange != nil {
		e.exchange.RequestReport()
	}
}

// reportUrgent schedules an early report to the VMs of all regions.
func (e *Entry) reportUrgent() {
	if e.exchange != nil {
		e.exchange.RequestUrgentReport()
	}
}

// applyChanges routes changes of the store to the quarantine and the catalog.
func (e *Entry) applyChanges(changes []replica.Change) {
	if others := e.quarantine.Apply(time.Now(), changes); len(others) > 0 {
		e.catalog.Apply(others)
	}
}

func (e *Entry) listen(ctx context.Context) error {
	ex, err := exchange.Start(ctx, exchange.Options{
		Address: e.options.PeerAddress, Logger: e.component("exchange"), State: e.state, Digest: e.digest, Limits: e.limitsToAnnounce,
		AddToFew:   e.addToFew,
		Recipients: e.recipients, RelayTo: e.relayTo, Received: e.received(ctx),
		Handlers: e.datagramHandlers(),
	})
	if err != nil {
		return err
	}
	e.exchange = ex
	// Requests of other VMs must not take the memory for those of callers.
	memory := buffer.NewBudget(int64(bodyMemoryShare * float64(e.options.MemoryBytes)))
	ofCallers, ofPeers := memory.NewShare(), memory.NewShare()
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
		share := ofCallers
		if l.address == e.options.PeerAddress {
			share = ofPeers
		}
		options := serve.Options{
			Address: l.address, Handler: l.handler, Limits: l.limits, Memory: share,
			MaxUnreadBytes: int64(unreadMemoryShare * float64(e.options.MemoryBytes)),
			Logger:         e.component("serve"), MaxConnections: e.options.MaxConnections,
		}
		if l.address == e.options.PeerAddress {
			e.gateway.RefuseUnread(&options)
		}
		s, err := serve.Start(options)
		if err != nil {
			return err
		}
		if e.callerServer == nil {
			e.callerServer = s
		}
		if l.address == e.options.PeerAddress {
			e.peerServer = s
		}
		e.servers = append(e.servers, s)
	}
	return nil
}

// listenMetrics serves the metrics on a separate port. A failure to bind it is only
// logged, so that the VM still serves callers.
func (e *Entry) listenMetrics() {
	if e.options.MetricsAddress == "" {
		return
	}
	s, err := serve.Start(serve.Options{
		Address: e.options.MetricsAddress, Handler: e.handleMetrics, Limits: e.limits, Logger: e.component("serve"),
	})
	if err != nil {
		e.component("entry").WithError(err).Warn("entry: cannot listen on the metrics address")
		return
	}
	e.servers = append(e.servers, s)
}

func (e *Entry) register(ctx context.Context) error {
	reg, err := registry.New(e.options.KV, e.options.Names.VMKey, e.options.VM, e.replica, e.component("registry"))
	if err != nil {
		return err
	}
	regCtx, cancel := context.WithCancel(ctx)
	e.deregister = cancel
	go reg.Run(regCtx)
	go e.watchRegistration(regCtx, reg)
	return nil
}

// watchRegistration registers again when the store's list lacks this VM.
func (e *Entry) watchRegistration(ctx context.Context, reg *registry.Registry) {
	for wait.For(ctx, registry.TTL) {
		if _, loaded := e.replica.Revision(); loaded && !e.isRegistered() {
			reg.ReportMissing()
		}
	}
}

func (e *Entry) isRegistered() bool {
	for _, vm := range e.catalog.View().VMs {
		if vm.Name == e.options.VM.Name && vm.Incarnation == e.options.VM.Incarnation {
			return true
		}
	}
	return false
}

// setView applies a new view of the store to peers, gateway and round-trip times.
func (e *Entry) setView(v *catalog.View) {
	now := time.Now()
	e.members.Register(v.VMs, e.now())
	e.fleet.apply(v)
	// Must precede SetView: this VM's share of requests to cold targets depends on the peers.
	e.updateSharers()
	e.gateway.SetView(v, now)
	e.configMetrics.set(v)
	for _, vm := range e.members.Others() {
		e.roundTrips.measure(vm.Region, vm.PeerAddress)
	}
}

// updateSharers updates the set of VMs that share the region's work and its affinity keys.
func (e *Entry) updateSharers() {
	now := e.now()
	names := e.members.WorkSharers(now)
	e.regionState.setSharers(names)
	e.balancer.SetVMs(names)
	if live, known := e.members.LiveInDomain(now); known && !e.shuttingDown.Load() {
		e.owners.SetVMs(live, func(vm site.VM) bool { return e.members.IsResponsive(vm, now) })
	}
	e.balancer.SetKeyOwnerCount(e.owners.EffectiveVMs())
	e.updateRelays(now)
}

// updateRelays updates the VMs that may place requests for this one, while it may not reach targets, and
// whether the directory is to leave it out. It is called periodically too, as calls after two changes may end in
// another order.
func (e *Entry) updateRelays(now time.Time) {
	_, cutOff := e.gateway.Unreached()
	e.members.SetCutOff(cutOff)
	var relays []owners.Relay
	if e.gateway.IsRelaying() {
		for _, vm := range e.members.LiveReach(now) {
			relays = append(relays, owners.Relay(vm))
		}
	}
	e.owners.SetRelays(relays, func(vm site.VM) bool { return e.members.IsResponsive(vm, now) })
}

// reachChanged tells other VMs what this one reaches.
func (e *Entry) reachChanged() {
	e.updateRelays(e.now())
	e.reportUrgent()
}

// now returns the time by the clock that counts suspensions. Whatever other VMs learn the age of
// is kept by it.
func (e *Entry) now() time.Time { return e.contact.clock.Now() }

// inFlight returns the number of requests of callers and other VMs without a complete response.
func (e *Entry) inFlight() int { return e.callerServer.InFlight() + e.peerServer.InFlight() }

// undelivered returns the number of connections of callers and other VMs with responses that they have not got
// yet.
func (e *Entry) undelivered() int { return e.callerServer.Undelivered() + e.peerServer.Undelivered() }

// serving reports whether the directory may send callers to this VM.
func (e *Entry) serving() bool { return e.gateway.Ready() && !e.shuttingDown.Load() }

// maintain runs the periodic work until the context ends.
func (e *Entry) maintain(ctx context.Context) {
	last := time.Now()
	for {
		pause := maintainInterval
		if e.balancer.Waiting() > 0 {
			pause = queueInterval
		}
		due := time.Now().Add(pause)
		if !wait.For(ctx, pause) {
			return
		}
		now := time.Now()
		if now.Sub(due) > busyDelay {
			e.gateway.Busy(now)
		}
		e.balancer.Tick(now)
		if now.Sub(last) < maintainInterval {
			continue
		}
		last = now
		if e.replica.Connected() {
			e.outages.StoreReached(now)
		}
		e.catalog.Expire(now)
		e.updateSharers()
		e.maintainQuota(ctx, now)
		e.targetLimits.maintain()
		e.workingSets.maintain(now)
		e.fairShares.maintain(now)
		e.quarantine.Tick(ctx, now, e.members.IsWatchLeader(e.now()))
		e.gatewayMetrics.setQuarantine(e.quarantine.Counts())
		e.gatewayMetrics.setStatements(e.balancer.Statements(now))
		e.gatewayMetrics.countReturns(e.balancer.ReturnTotals())
		e.gateway.Probe(ctx, e.healthPath)
		e.gateway.CheckReach(ctx, e.healthPath)
		e.gatewayMetrics.setReach(e.gateway.Reach(now))
		e.regionPlans.tick(now, e.balancer)
		at, _ := e.replica.Revision()
		e.gatewayMetrics.setReplica(at)
	}
}

// defaultHealthPath is the path of health probes of a service that has none configured.
const defaultHealthPath = "/"

func (e *Entry) healthPath(service string) string {
	return healthPathOf(e.catalog.View().Config, service)
}

// healthPathOf returns the path of the health probes of a service. The configuration may be nil.
func healthPathOf(c *site.Config, service string) string {
	if c == nil {
		return defaultHealthPath
	}
	return cmp.Or(c.Services[service].HealthPath, defaultHealthPath)
}

// Shutdown stops the VM gracefully: it leaves the directory, accepts requests for
// drainPeriod and waits for those in flight, all within the grace period. Requests that still wait for a
// target answerMargin before the exit are refused as not run.
func (e *Entry) Shutdown() {
	began := time.Now()
	e.shuttingDown.Store(true)
	e.component("entry").WithField("busy", e.inFlight()).Info("entry: leaving")
	e.exchange.Flush()
	e.deregister()
	e.callerServer.DisableKeepAlives()
	time.Sleep(drainPeriod)
	e.gateway.Leave()
	e.callerServer.StopListening()
	e.callerServer.CloseIdle()
	until := began.Add(e.options.Grace - exitMargin)
	endSends := time.AfterFunc(time.Until(until.Add(-answerMargin)), e.gateway.EndSends)
	defer endSends.Stop()
	for (e.inFlight() > 0 || e.undelivered() > 0) && time.Now().Before(until) {
		time.Sleep(drainPollInterval)
	}
	// Responses just acknowledged may still be unread by callers that send further requests.
	time.Sleep(min(exitMargin, max(0, time.Until(until))))
	e.component("entry").WithFields(logrus.Fields{"busy": e.inFlight(), "undelivered": e.undelivered(), "ms": time.Since(began).Milliseconds()}).Info("entry: stopped")
	e.Close()
}

// Close stops the VM at once and aborts requests in flight.
func (e *Entry) Close() {
	e.stop()
	if e.deregister != nil {
		e.deregister()
	}
	for _, s := range e.servers {
		s.Close()
	}
	_ = e.metrics.Closer.Close()
}
