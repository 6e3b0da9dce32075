// Package owners selects the VM that places a request for this one: the owner of its affinity key in this
// failure domain, or a relay, one that reaches targets which this VM does not. It does no I/O.
//
// With many VMs and many targets, each VM rarely sends to the same target twice in a row:
// it needs a new connection for nearly every request, and what it has learned of a target
// (warm keys, requests in flight, refusals) does not help the VM that gets the next
// request. With one owner per key, a target gets its requests from few VMs, which keep
// their connections open and have current information.
//
// A delegated request and its answer cross the owner's network link once more. Keys are
// therefore divided in proportion to link bandwidth, and owners whose answers arrive late
// are avoided.
package owners

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/placing"
	"github.com/yuccaroute/yuccaroute/edge/site"
)

const (
	// minVMs is the smallest number of VMs, this one included, among which keys are
	// divided. Fewer VMs each see enough of every target by themselves.
	minVMs = 4
	// avoidDuration is how long an owner gets no requests after a failure. By then it is
	// reachable again, or known to be unresponsive.
	avoidDuration = 2 * time.Second
	// maxOverhead bounds the mean time that answers take beyond the owner's processing time.
	// Within a failure domain it is a few milliseconds; more than this means a saturated link.
	maxOverhead = 25 * time.Millisecond
	// overheadWeight is the weight of one answer in the moving average of the overhead.
	overheadWeight = 0.1
	// defaultLinkMbps is assumed for a VM that does not state its bandwidth.
	defaultLinkMbps = 1
)

// Owner is another VM that owns a part of the keys.
type Owner struct {
	site.VM
	hash uint64
	// share is its weight in the division of the keys.
	share  float64
	ctx    context.Context
	cancel context.CancelFunc
	// failedUntil and slowUntil are until when the owner is avoided as it does not take requests, and as it
	// is busy or its answers are late; nil if it never was.
	failedUntil, slowUntil atomic.Pointer[time.Time]

	mu sync.Mutex
	// overhead is the moving average of the time that answers take beyond the owner's
	// processing time.
	overhead time.Duration
}

// Context returns a context that is canceled when the VM becomes unresponsive.
func (o *Owner) Context() context.Context { return o.ctx }

// Avoid makes Lookup and Relay skip the owner for avoidDuration.
func (o *Owner) Avoid(now time.Time) { avoid(&o.failedUntil, now) }

// AvoidSlow is as Avoid for an owner that takes requests but should be spared. SlowRelay may return it.
func (o *Owner) AvoidSlow(now time.Time) { avoid(&o.slowUntil, now) }

func avoid(until *atomic.Pointer[time.Time], now time.Time) {
	at := now.Add(avoidDuration)
	until.Store(&at)
}

func (o *Owner) isAvoided(now time.Time) bool { return o.hasFailed(now) || o.isSlow(now) }
func (o *Owner) hasFailed(now time.Time) bool { return isBefore(now, &o.failedUntil) }
func (o *Owner) isSlow(now time.Time) bool    { return isBefore(now, &o.slowUntil) }

func isBefore(now time.Time, until *atomic.Pointer[time.Time]) bool {
	at := until.Load()
	return at != nil && now.Before(*at)
}

// RecordOverhead records how much longer than the owner's processing time an answer took. An
// owner with a high mean overhead is avoided for a while: its link is probably saturated.
func (o *Owner) RecordOverhead(overhead time.Duration, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.overhead += time.Duration(overheadWeight * float64(overhead-o.overhead))
	if o.overhead > maxOverhead {
		o.overhead = 0
		o.AvoidSlow(now)
	}
}

// Table maps keys to owners. It is safe for concurrent use; Lookup and EffectiveVMs do not
// block.
type Table struct {
	own    *Owner
	others atomic.Pointer[[]*Owner]
	relays atomic.Pointer[[]relay]
	// updateMu serializes SetVMs and SetRelays.
	updateMu sync.Mutex
}

// New returns a table in which this VM owns all keys.
func New(own site.VM) *Table {
	t := &Table{own: newOwner(own)}
	t.others.Store(&[]*Owner{})
	t.relays.Store(&[]relay{})
	return t
}

// Lookup returns the owner of a key, nil for this VM itself. All VMs with the same list of VMs
// find the same owner, unless they avoid it.
func (t *Table) Lookup(key uint64, now time.Time) *Owner {
	var best *Owner
	lowest := t.own.rank(key)
	for _, o := range *t.others.Load() {
		if rank := o.rank(key); rank < lowest && !o.isAvoided(now) {
			best, lowest = o, rank
		}
	}
	return best
}

// rank is the owner's rank for a key in weighted rendezvous hashing; the lowest rank owns it.
func (o *Owner) rank(key uint64) float64 { return placing.WeightedRank(key, o.hash, o.share) }

// EffectiveVMs returns the number of VMs with equal shares that would divide the keys as
// finely as the actual shares do, this VM included.
func (t *Table) EffectiveVMs() float64 {
	sum, squares := t.own.share, t.own.share*t.own.share
	for _, o := range *t.others.Load() {
		sum += o.share
		squares += o.share * o.share
	}
	return sum * sum / squares
}

// SetVMs sets the other VMs of the failure domain that take requests. isResponsive is asked
// about VMs that are removed: the context of an unresponsive one is canceled.
func (t *Table) SetVMs(vms []site.VM, isResponsive func(site.VM) bool) {
	t.updateMu.Lock()
	defer t.updateMu.Unlock()
	if 1+len(vms) < minVMs {
		vms = nil
	}
	old := *t.others.Load()
	if slices.EqualFunc(old, vms, func(o *Owner, vm site.VM) bool { return o.VM == vm }) {
		return
	}
	known := t.known()
	next := make([]*Owner, 0, len(vms))
	for _, vm := range vms {
		next = append(next, reuseOwner(known, vm))
	}
	t.others.Store(&next)
	t.cancelUnresponsive(old, isResponsive)
}

// reuseOwner returns the known owner for a VM, so that it keeps its state, or a new one.
func reuseOwner(known []*Owner, vm site.VM) *Owner {
	for _, o := range known {
		if o.VM == vm && o.ctx.Err() == nil {
			return o
		}
	}
	return newOwner(vm)
}

func newOwner(vm site.VM) *Owner {
	ctx, cancel := context.WithCancel(context.Background())
	return &Owner{
		VM: vm, hash: placing.HashOf(vm.Name), share: max(defaultLinkMbps, vm.LinkMbps), ctx: ctx, cancel: cancel,
	}
}
