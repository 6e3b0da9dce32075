package entry

import (
	"context"
	"math"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/api/clock"
	"github.com/yuccaroute/yuccaroute/edge/catalog"
	"github.com/yuccaroute/yuccaroute/edge/exchange"
	"github.com/yuccaroute/yuccaroute/edge/placing"
	"github.com/yuccaroute/yuccaroute/edge/quota"
	"github.com/yuccaroute/yuccaroute/edge/site"
	"github.com/yuccaroute/yuccaroute/store"
)

const (
	// currentTimeout is how long after the last confirmation the replica counts as current.
	currentTimeout = 1500 * time.Millisecond
	// minRevokeMargin is the part of RevokeTime that covers the age of a confirmation.
	minRevokeMargin = time.Second
	// fleetWriteInterval is the shortest time between two writes of the fleet's size.
	fleetWriteInterval = 2 * time.Second
	fleetWriteTimeout  = time.Second
	// defaultQuotaWindow applies if the settings have no bounds for quotas.
	defaultQuotaWindow = 5 * time.Second
)

// contact tracks when this VM last knew that its replica of the store is current: while its own
// watch works, or when a VM whose watch works reports a revision that is not newer.
type contact struct {
	clock *clock.Clock
	// revokeTime is Options.RevokeTime.
	revokeTime time.Duration
	started    time.Time
	// confirmedAt is a duration since started, in nanoseconds.
	confirmedAt atomic.Int64
}

func newContact(timer *clock.Clock, revokeTime time.Duration) *contact {
	c := &contact{clock: timer, revokeTime: revokeTime}
	c.started = c.clock.Now()
	// The first copy of the store may be old, so that nothing is confirmed yet.
	c.confirmedAt.Store(int64(-max(currentTimeout, revokeTime)))
	return c
}

func (c *contact) confirm() { c.confirmedAt.Store(int64(c.clock.Now().Sub(c.started))) }

func (c *contact) age() time.Duration {
	return c.clock.Now().Sub(c.started) - time.Duration(c.confirmedAt.Load())
}

// isCurrent reports whether the replica is known to be current.
func (c *contact) isCurrent() bool { return c.age() < currentTimeout }

// isExpired reports whether keys must not be accepted any more.
func (c *contact) isExpired() bool {
	return c.revokeTime > 0 && c.age() >= max(currentTimeout, c.revokeTime-minRevokeMargin)
}

// fleet keeps the number of VMs, which the store holds for VMs that start.
type fleet struct {
	size  *quota.Fleet
	key   string
	kv    store.KV
	clock *clock.Clock
	log   *logrus.Entry
	// revision is the revision of the stored size.
	revision  atomic.Uint64
	writing   atomic.Bool
	writtenAt time.Time
}

func newFleet(key string, kv store.KV, c *clock.Clock, log *logrus.Entry) *fleet {
	return &fleet{size: quota.NewFleet(c.Now()), key: key, kv: kv, clock: c, log: log}
}

func (f *fleet) apply(v *catalog.View) {
	f.size.SetStored(v.FleetSize, v.FleetSizeLost)
	f.revision.Store(uint64(v.FleetSizeRevision))
}

// write stores the size if it has changed.
func (f *fleet) write(ctx context.Context, now time.Time) {
	vms, changed := f.size.ToStore(now)
	if !changed || f.key == "" || now.Sub(f.writtenAt) < fleetWriteInterval || !f.writing.CompareAndSwap(false, true) {
		return
	}
	f.writtenAt = now
	go func() {
		defer f.writing.Store(false)
		ctx, cancel := context.WithTimeout(ctx, fleetWriteTimeout)
		defer cancel()
		_, err := f.kv.Swap(ctx, f.key, []byte(strconv.Itoa(vms)), store.Revision(f.revision.Load()), 0)
		var conflict *store.ConflictError
		if err != nil && !errors.As(err, &conflict) {
			f.log.WithError(err).WithField("vms", vms).Warn("fleet: size not stored")
			return
		}
		f.log.WithFields(logrus.Fields{"vms": vms, "conflict": conflict != nil}).Info("fleet: size stored")
	}()
}

func (e *Entry) newQuota() *quota.Quota {
	bounds := e.options.Quotas
	if bounds.Window <= 0 {
		bounds.Window = defaultQuotaWindow
	}
	return quota.New(quota.Options{
		VM: e.options.VM.Name, Incarnation: e.options.VM.Incarnation, Bounds: bounds, Logger: e.component("quota"),
		Limit:       e.accountLimit,
		Fleet:       func() int { return e.fleet.size.Size(e.contact.clock.Now()) },
		Coordinator: e.coordinator, OtherCoordinators: e.otherCoordinators,
		SendRequest: func(address string, payload []byte) { e.exchange.Send(address, exchange.QuotaRequest, payload) },
		Leaving:     e.shuttingDown.Load,
		Now:         e.contact.clock.Now,
	})
}

// accountLimit returns the limit of the account with an ID.
func (e *Entry) accountLimit(id uint32) (quota.Limit, bool) {
	a := e.gateway.AccountByID(id)
	if a == nil {
		return quota.Limit{}, false
	}
	return quota.AccountLimit(a), true
}

// datagramHandlers returns the handlers of the datagrams of quotas.
func (e *Entry) datagramHandlers() map[exchange.Kind]exchange.Handler {
	return map[exchange.Kind]exchange.Handler{
		exchange.QuotaRequest: func(ex *exchange.Exchange, from string, payload []byte) {
			if reply := e.quota.HandleRequest(from, payload); reply != nil {
				ex.Send(from, exchange.QuotaReply, reply)
			}
		},
		exchange.QuotaReply:         func(_ *exchange.Exchange, from string, payload []byte) { e.quota.HandleReply(from, payload) },
		exchange.TargetQuotaRequest: e.targetLimits.handleRequest,
		exchange.TargetQuotaReply:   e.targetLimits.handleReply,
	}
}

// coordinator selects the coordinator of a group of accounts in this region.
func (e *Entry) coordinator(group int, avoid func(name string) bool) quota.Coordinator {
	return e.coordinatorIn(e.options.VM.Region, groupKey(group), avoid)
}

// groupKey identifies a group of accounts when its coordinator is selected.
func groupKey(group int) string { return "quota " + strconv.Itoa(group) }

// coordinatorIn selects a coordinator in a region, which is this VM if it knows no other one.
func (e *Entry) coordinatorIn(region, key string, avoid func(name string) bool) quota.Coordinator {
	own := e.options.VM
	candidates := e.members.Coordinators(!e.shuttingDown.Load(), e.now())[region]
	candidates = slices.DeleteFunc(candidates, func(vm site.VM) bool { return vm.Name != own.Name && avoid(vm.Name) })
	if len(candidates) == 0 {
		candidates = []site.VM{own}
	}
	return e.selectCoordinator(key, candidates)
}

func (e *Entry) otherCoordinators(group int) (others []quota.Coordinator) {
	for region, candidates := range e.members.Coordinators(false, e.now()) {
		if region != e.options.VM.Region {
			others = append(others, e.selectCoordinator(groupKey(group), candidates))
		}
	}
	return others
}

// selectCoordinator selects one of several VMs by rendezvous hashing, weighted by link bandwidth.
func (e *Entry) selectCoordinator(key string, candidates []site.VM) quota.Coordinator {
	hash := placing.HashOf(key)
	best, lowest := candidates[0], math.Inf(1)
	for _, vm := range candidates {
		if rank := placing.WeightedRank(hash, placing.HashOf(vm.Name), max(1, vm.LinkMbps)); rank < lowest || rank == lowest && vm.Name < best.Name {
			best, lowest = vm, rank
		}
	}
	return quota.Coordinator{Name: best.Name, Address: best.PeerAddress, RTT: e.roundTrips.get(best.Region)}
}

// maintainQuota runs the periodic work of quotas.
func (e *Entry) maintainQuota(ctx context.Context, now time.Time) {
	if e.replica.Connected() {
		e.contact.confirm()
	}
	at := e.contact.clock.Now()
	if e.contact.isCurrent() {
		e.fleet.size.Contact(at)
	}
	e.fleet.size.Observe(at, e.members.Count())
	if !e.gateway.HasQuotas() {
		return
	}
	if e.members.IsWatchLeader(at) {
		e.fleet.write(ctx, at)
	}
	e.quota.Tick()
}
