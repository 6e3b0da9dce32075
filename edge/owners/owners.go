// Package owners names, for each affinity key, the one VM of a failure domain that
// decides on its requests. It is free of input and output.
//
// Load pattern: hundreds of VMs share a thousand targets, and each VM sends to each
// target once or twice in a minute. Nearly every request then opens a connection, and
// what a VM learns of a target (which keys it is warm for, how many requests it has, that
// it refuses) is of no use to the VM that gets the next request. With one owner for each
// key of a failure domain a target gets its requests from a few VMs, which keep their
// connections open and see what happens there.
package owners

import (
	"context"
	"slices"
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
)

// Owner is another VM that decides on some keys.
type Owner struct {
	site.VM
	hash uint64
	lost context.Context
	lose context.CancelFunc
	// avoidUntil is in Unix nanoseconds.
	avoidUntil atomic.Int64
}

// Lost ends when the VM has become unresponsive.
func (o *Owner) Lost() context.Context { return o.lost }

// Avoid keeps this VM from using the owner for a while: it could not be reached.
func (o *Owner) Avoid(now time.Time) { o.avoidUntil.Store(now.Add(avoidFor).UnixNano()) }

// Table knows the owners. Of and Divided may be called while Set runs; Set itself is
// called by one goroutine at a time.
type Table struct {
	hash   uint64
	others atomic.Pointer[[]*Owner]
}

// New returns a table in which the VM with this name owns all keys.
func New(name string) *Table {
	t := &Table{hash: placing.HashOf(name)}
	t.others.Store(&[]*Owner{})
	return t
}

// Of returns the owner of a key, nil for this VM itself. All VMs that know the same VMs
// find the same owner.
func (t *Table) Of(key uint64, now time.Time) *Owner {
	var best *Owner
	highest := placing.Rendezvous(key, t.hash)
	for _, o := range *t.others.Load() {
		if rank := placing.Rendezvous(key, o.hash); rank > highest && o.avoidUntil.Load() <= now.UnixNano() {
			best, highest = o, rank
		}
	}
	return best
}

// Divided returns among how many VMs keys are divided, this one included.
func (t *Table) Divided() int { return 1 + len(*t.others.Load()) }

// Set tells which other VMs of the failure domain take requests now. isResponsive
// reports of one that no longer does whether it still answers.
func (t *Table) Set(vms []site.VM, isResponsive func(site.VM) bool) {
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
	lost, lose := context.WithCancel(context.Background())
	return &Owner{VM: vm, hash: placing.HashOf(vm.Name), lost: lost, lose: lose}
}
