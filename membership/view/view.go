// Package view keeps the last good VM list. It goes on serving that list, with
// its age, while the platform is out.
package view

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/api/wait"
	"github.com/yuccaroute/yuccaroute/membership"
)

// Subscriber is called with each new version, one call at a time. It must
// return soon: the next reading waits for it.
type Subscriber func(snapshot *Snapshot, change Change)

// View reads the list again and again.
type View struct {
	lister  membership.Lister
	options Options
	current atomic.Pointer[Snapshot]

	mu          sync.Mutex
	tracker     *tracker
	subscribers []Subscriber
}

// New returns a view that has read nothing yet.
func New(lister membership.Lister, options Options) *View {
	options = options.withDefaults()
	return &View{
		lister:  lister,
		options: options,
		tracker: newTracker(options),
	}
}

// Current returns the last snapshot, nil before the first good answer.
func (v *View) Current() *Snapshot {
	return v.current.Load()
}

// Subscribe adds a subscriber. If there is a snapshot already, it is called
// with it at once, all VMs as added.
func (v *View) Subscribe(subscriber Subscriber) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.subscribers = append(v.subscribers, subscriber)
	if snapshot := v.current.Load(); snapshot != nil {
		subscriber(snapshot, Diff(nil, snapshot.List.VMs))
	}
}

// Run reads the list until the context ends.
func (v *View) Run(ctx context.Context) error {
	out := false
	for ctx.Err() == nil {
		err := v.Refresh(ctx)
		if ctx.Err() == nil {
			logTurn(v.options.Logger, out, err)
			out = err != nil
		}
		pause(ctx, v.options.Interval)
	}
	return nil
}

// logTurn writes a line at the start and the end of an outage only.
func logTurn(log logrus.FieldLogger, wasOut bool, err error) {
	switch {
	case err != nil && !wasOut:
		log.WithError(err).Warn("membership: list not read, keeping the last one")
	case err == nil && wasOut:
		log.Info("membership: list read again")
	}
}

// Refresh reads the list once.
func (v *View) Refresh(ctx context.Context) error {
	list, err := v.lister.List(ctx)
	if err != nil {
		return err
	}
	v.take(list, time.Now())
	return nil
}

func (v *View) take(list membership.List, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	before := v.tracker.last
	snapshot := v.tracker.fold(list, now)
	if snapshot == nil {
		return
	}
	first := v.current.Swap(snapshot) == nil
	if !first && snapshot.Version == before.Version {
		return
	}
	change := Diff(before.List.VMs, snapshot.List.VMs)
	for _, subscriber := range v.subscribers {
		subscriber(snapshot, change)
	}
}

func pause(ctx context.Context, interval time.Duration) {
	jitter := time.Duration(jitterShare * rand.Float64() * float64(interval))
	wait.For(ctx, interval-jitter)
}
