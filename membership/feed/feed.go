// Package feed keeps a node's view of the VM list up to date. A few nodes, the
// watchers, poll the platform and publish changes; the others receive the
// changes, and poll the platform themselves while replication fails.
package feed

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/api/wait"
	"github.com/yuccaroute/yuccaroute/membership"
	"github.com/yuccaroute/yuccaroute/membership/view"
)

// Reading identifies the last read of the newest list by any node.
type Reading struct {
	Epoch, Sequence uint64
	At              time.Time
	// Own is true if this node made the read.
	Own bool
}

// Replicator replicates the parts of the list between nodes.
type Replicator interface {
	// Ready reports whether this node has synchronized with its peers.
	Ready() bool
	// Watching reports whether this node is a watcher.
	Watching() bool
	// Publish sends one part of the list to all nodes, unless a newer one is
	// known.
	Publish(key string, epoch, sequence uint64, body []byte) error
	// Part returns the newest part known to this node.
	Part(key string) (epoch, sequence uint64, body []byte)
	// Reading returns the last read by any node that is known to this node.
	Reading() (Reading, bool)
	// RecordReading announces a read by this node to the other nodes.
	RecordReading(epoch, sequence uint64, at time.Time)
}

// Feed keeps the view of one node up to date.
type Feed struct {
	lister     membership.Lister
	replicator Replicator
	view       *view.View
	options    Options
	log        logrus.FieldLogger
	rand       *rand.Rand
	started    time.Time

	mu    sync.Mutex
	parts partSet
	// current is the version of the list in the view.
	current version
	// peerReadAt is when another node last read the current list.
	peerReadAt time.Time
	// mismatches counts consecutive readings that differ from the current list.
	mismatches int
	last       splitList
	seeds      membership.List

	// The fields below are used by Run only.
	nextRead    time.Time
	failures    int
	unavailable bool
}

// New returns a feed that does not poll until Run is called.
func New(lister membership.Lister, replicator Replicator, target *view.View, options Options) *Feed {
	options = options.withDefaults()
	return &Feed{
		lister:     lister,
		replicator: replicator,
		view:       target,
		options:    options,
		log:        options.Logger,
		rand:       rand.New(rand.NewPCG(options.Seed, ^options.Seed)),
		started:    time.Now(),
		parts:      newPartSet(),
	}
}

// Run polls the platform or follows other nodes until the context is done.
func (f *Feed) Run(ctx context.Context) {
	for ctx.Err() == nil {
		f.applyLastReading()
		if f.due(time.Now()) {
			f.read(ctx)
		}
		wait.For(ctx, f.options.Interval-f.randomBelow(time.Duration(jitterShare*float64(f.options.Interval))))
	}
}

// Apply stores one part that this node or another one published.
func (f *Feed) Apply(key string, epoch, sequence uint64, body []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.store(key, version{epoch, sequence}, body) {
		f.activateIfComplete()
	}
}

// store adds a part and reports whether it could be decoded.
func (f *Feed) store(key string, v version, body []byte) bool {
	log := f.log.WithField("item", key)
	skipped, err := f.parts.put(key, v, body)
	if err != nil {
		log.WithError(err).Error("membership: cannot decode part of the list")
		return false
	}
	if skipped > 0 {
		log.Warnf("membership: skipped %d invalid rows", skipped)
	}
	return true
}

// Members returns the current list, or the seed nodes before there is one.
func (f *Feed) Members() membership.List {
	if snapshot := f.view.Current(); snapshot != nil {
		return snapshot.List
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seeds
}

// activateIfComplete moves the view to the newest replicated list if its parts
// match the digest. Parts arrive independently, so without the digest the view
// could mix rows of different lists.
func (f *Feed) activateIfComplete() {
	if !f.parts.complete() || !f.parts.head.newerThan(f.current) {
		return
	}
	f.current = f.parts.head
	f.mismatches = 0
	f.updateView(f.parts.list(), f.readAt())
}

// readAt returns when the current list was last read. The list may arrive before
// its Reading; until then its age is set so high that the Reading, when it
// arrives, is always newer.
func (f *Feed) readAt() time.Time {
	if reading, ok := f.replicator.Reading(); ok && f.current == (version{reading.Epoch, reading.Sequence}) {
		return reading.At
	}
	return f.started.Add(-unknownAge)
}

// updateView passes a list to the view. The read time never goes back.
func (f *Feed) updateView(vms []membership.VM, at time.Time) {
	if snapshot := f.view.Current(); snapshot != nil && snapshot.ReadAt.After(at) {
		at = snapshot.ReadAt
	}
	f.last.inView = vms
	f.view.Update(membership.List{VMs: vms, Epoch: f.current.epoch, Sequence: f.current.sequence}, at)
}

// applyLastReading updates the age of the current list from the last Reading, if
// that was of the same list.
func (f *Feed) applyLastReading() {
	reading, ok := f.replicator.Reading()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !ok || f.current != (version{reading.Epoch, reading.Sequence}) {
		return
	}
	if !reading.Own && reading.At.After(f.peerReadAt) {
		f.peerReadAt = reading.At
	}
	f.updateView(f.last.inView, reading.At)
}
