// Package owners names, for each affinity key, the one VM of a failure domain that
// decides on its requests. It is free of input and output.
//
// Load pattern: hundreds of VMs share a thousand targets, and each VM sends to each
// target once or twice in a minute. Nearly every request then opens a connection, and
// what a VM learns of a target (which keys it is warm for, how many requests it has, that
// it refuses) is of no use to the VM that gets the next request. With one owner for each
// key of a failure domain a target gets its requests from a few VMs, which keep their
// connections open and see what happens there.
//
// A request and its answer cross the owner's link once more. Keys are therefore divided by
// the links of the VMs, and an owner that answers with a delay of its own is avoided.
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
	// minVMs is the least number of VMs of a failure domain, this one included, among
	// which keys are divided: fewer see enough of each target by themselves, and a
	// request would be passed on for nothing.
	minVMs = 4
	// avoidFor is how long an owner gets nothing after it could not be reached. By then
	// it is reachable again, or unresponsive.
	avoidFor = 2 * time.Second
	// maxOverhead is how much longer than the owner itself an answer may take on average.
	// Within a failure domain it takes a few milliseconds; above this a link is full.
	maxOverhead = 25 * time.Millisecond
	// overheadRate is the weight of one answer in the mean overhead.
	overheadRate = 0.1
	// unknownLink is the link of a VM that does not say, in Mbit/s.
	unknownLink = 1
)

// Owner is another VM that decides on some keys.
type Owner struct {
	site.VM
	hash uint64
	// share is the part of the keys that it owns in proportion to others.
	share float64
	lost  context.Context
	lose  context.CancelFunc
	// avoidUntil is in Unix nanoseconds.
	avoidUntil atomic.Int64

	mu sync.Mutex
	// overhead is the mean time that answers take beyond the owner's own.
	overhead time.Duration
}

// Context ends when the VM has become unresponsive.
func (o *Owner) Context() context.Context { return o.lost }

// Avoid keeps this VM from using the owner for a while: it could not be reached.
func (o *Owner) Avoid(now time.Time) { o.avoidUntil.Store(now.Add(avoidFor).UnixNano()) }

// RecordOverhead takes in by how much longer than the owner itself an answer took.
//
// Guard against full links: with a tenth of the link of others, VMs that own keys made
// callers wait for a fifth of a second. It shows as answers that come later than the owner
// gave them. The guard holds because such an owner gets nothing for a while, and each VM
// judges by the answers that it waited for.
func (o *Owner) RecordOverhead(overhead time.Duration, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.overhead += time.Duration(overheadRate * float64(overhead-o.overhead))
	if o.overhead > maxOverhead {
		o.overhead = 0
		o.Avoid(now)
	}
}

// Table knows the owners. It is safe for use by several goroutines; Lookup and EffectiveVMs wait for
// nothing.
type Table struct {
	own    *Owner
	others atomic.Pointer[[]*Owner]
	// setting is held while the others are replaced.
	setting sync.Mutex
}

// New returns a table in which this VM owns all keys.
func New(own site.VM) *Table {
	t := &Table{own: newOwner(own)}
	t.others.Store(&[]*Owner{})
	return t
}

// Lookup returns the owner of a key, nil for this VM itself. All VMs that know the same VMs
// find the same owner.
func (t *Table) Lookup(key uint64, now time.Time) *Owner {
	var best *Owner
	lowest := t.own.rank(key)
	for _, o := range *t.others.Load() {
		if rank := o.rank(key); rank < lowest && o.avoidUntil.Load() <= now.UnixNano() {
			best, lowest = o, rank
		}
	}
	return best
}

// rank orders owners for a key, the lowest first.
func (o *Owner) rank(key uint64) float64 { return placing.WeightedRank(key, o.hash, o.share) }

// EffectiveVMs returns among how many VMs with equal links keys would be divided as finely as
// they are, this VM included.
func (t *Table) EffectiveVMs() float64 {
	sum, squares := t.own.share, t.own.share*t.own.share
	for _, o := range *t.others.Load() {
		sum += o.share
		squares += o.share * o.share
	}
	return sum * sum / squares
}

// SetVMs tells which other VMs of the failure domain take requests now. isResponsive
// reports of one that no longer does whether it still answers.
func (t *Table) SetVMs(vms []site.VM, isResponsive func(site.VM) bool) {
	t.setting.Lock()
	defer t.setting.Unlock()
	if 1+len(vms) < minVMs {
		vms = nil
	}
	old := *t.others.Load()
	if slices.EqualFunc(old, vms, func(o *Owner, vm site.VM) bool { return o.VM == vm }) {
		return
	}
	next := make([]*Owner, 0, len(vms))
	for _, vm := range vms {
		next = append(next, ownerOf(old, vm))
	}
	t.others.Store(&next)
	for _, o := range old {
		if !slices.Contains(next, o) && !isResponsive(o.VM) {
			o.lose()
		}
	}
}

// ownerOf keeps an owner that is known.
func ownerOf(known []*Owner, vm site.VM) *Owner {
	for _, o := range known {
		if o.VM == vm {
			return o
		}
	}
	return newOwner(vm)
}

func newOwner(vm site.VM) *Owner {
	lost, lose := context.WithCancel(context.Background())
	return &Owner{
		VM: vm, hash: placing.HashOf(vm.Name), share: max(unknownLink, vm.LinkMbps), lost: lost, lose: lose,
	}
}
