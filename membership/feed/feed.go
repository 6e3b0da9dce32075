// Package feed gives a node the VM list. Few nodes, the watchers, read it from
// the platform and spread what changed; the others take it from them, and read
// it themselves while spreading fails.
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

// Reading is what is known of the last reading of the newest list.
type Reading struct {
	Epoch, Sequence uint64
	At              time.Time
	// Own tells that this node made it.
	Own bool
}

// Replicator is what the feed needs of the spreading between nodes.
type Replicator interface {
	// Ready reports whether this node has learned what its peers hold.
	Ready() bool
	// Watching reports whether this node reads the list for others.
	Watching() bool
	// Publish spreads one part of the list, unless a later one is known.
	Publish(key string, epoch, sequence uint64, body []byte) error
	// Part returns the latest part known here.
	Part(key string) (epoch, sequence uint64, body []byte)
	// Reading returns the last reading by any node, as far as is known here.
	Reading() (Reading, bool)
	// RecordReading tells the others of a reading by this node.
	RecordReading(epoch, sequence uint64, at time.Time)
}

// Feed keeps the view of one node up to date.
type Feed struct {
	lister  membership.Lister
	spread  Replicator
	view    *view.View
	options Options
	log     logrus.FieldLogger
	rand    *rand.Rand
	started time.Time

	mu    sync.Mutex
	parts partSet
	// held is the list that the view has.
	held version
	// spreadAt is the last reading of the held list by another node.
	spreadAt time.Time
	// others counts readings in a row that were not the list in force.
	others int
	last   split
	seeds  membership.List

	// What follows belongs to Run.
	nextRead time.Time
	failures int
	out      bool
}

// New returns a feed that does nothing until Run.
func New(lister membership.Lister, spread Replicator, target *view.View, options Options) *Feed {
	options = options.withDefaults()
	return &Feed{
		lister:  lister,
		spread:  spread,
		view:    target,
		options: options,
		log:     options.Logger,
		rand:    rand.New(rand.NewPCG(options.Seed, ^options.Seed)),
		started: time.Now(),
		parts:   newPartSet(),
	}
}

// Run reads or waits for the list until the context ends.
func (f *Feed) Run(ctx context.Context) {
	for ctx.Err() == nil {
		f.confirm()
		if f.due(time.Now()) {
			f.read(ctx)
		}
		wait.For(ctx, f.options.Interval-f.random(time.Duration(jitterShare*float64(f.options.Interval))))
	}
}

// Apply takes in one part that another node or this one published. Parts under
// other keys are left out.
func (f *Feed) Apply(key string, epoch, sequence uint64, body []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.put(key, version{epoch, sequence}, body) {
		f.assemble()
	}
}

// put notes a part and reports whether it could be read.
func (f *Feed) put(key string, v version, body []byte) bool {
	log := f.log.WithField("item", key)
	unread, err := f.parts.put(key, v, body)
	if err != nil {
		log.WithError(err).Error("membership: cannot read a part of the list")
		return false
	}
	if unread > 0 {
		log.Warnf("membership: %d rows left out", unread)
	}
	return true
}

// Members returns the list in force; before there is one, the nodes from which
// the list can be learned.
func (f *Feed) Members() membership.List {
	if snapshot := f.view.Current(); snapshot != nil {
		return snapshot.List
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seeds
}

// assemble puts the list that was spread in force, once all its parts are
// there.
//
// Guard against a list that never was: parts arrive one by one and by several
// ways, and a part from a relay that lags may be older than the others. A VM
// would be missing, or one that ended would be back. The digest is that of one
// reading, so a mixture does not have it.
func (f *Feed) assemble() {
	if !f.parts.complete() || !f.parts.head.later(f.held) {
		return
	}
	f.held = f.parts.head
	f.others = 0
	f.show(f.parts.list(), f.readAt())
}

// readAt returns when the held list was last read, as far as is known. The list
// may come before the news of its reading, which must count then though it was
// long ago; so a list of unknown age counts as older than any real one.
func (f *Feed) readAt() time.Time {
	if reading, ok := f.spread.Reading(); ok && f.held == (version{reading.Epoch, reading.Sequence}) {
		return reading.At
	}
	return f.started.Add(-unknownAge)
}

// show gives a list to the view. A newer list is at least as fresh as the one
// before.
func (f *Feed) show(vms []membership.VM, at time.Time) {
	if snapshot := f.view.Current(); snapshot != nil && snapshot.ReadAt.After(at) {
		at = snapshot.ReadAt
	}
	f.last.shown = vms
	f.view.Update(membership.List{VMs: vms, Epoch: f.held.epoch, Sequence: f.held.sequence}, at)
}

// confirm takes over the last reading by another node, if it was of the list
// that this node has.
func (f *Feed) confirm() {
	reading, ok := f.spread.Reading()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !ok || f.held != (version{reading.Epoch, reading.Sequence}) {
		return
	}
	if !reading.Own && reading.At.After(f.spreadAt) {
		f.spreadAt = reading.At
	}
	f.show(f.last.shown, reading.At)
}
