// Package ratelimit holds which targets have limited the requests that they take from all entry
// VMs together. A target states its limit in its answers for as long as it applies. VMs tell each
// other what they observed, and the newest observation of a target counts. The package does no I/O.
package ratelimit

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// observationTTL is how long an observation counts: targets that keep a limit state it in
	// each answer, and those that get no requests need none.
	observationTTL = 30 * time.Second
	// maxTransit bounds the time that an announcement is on its way. Received observations count as
	// that much older, so that none seems newer than what led to it.
	maxTransit = 300 * time.Millisecond
	// maxAnnounced bounds the observations of one announcement.
	maxAnnounced = 16
	// AnnounceInterval is the time between two announcements; each has the next observations.
	AnnounceInterval = time.Second
)

// Observation is what a target stated in its newest answer.
type Observation struct {
	// Target is the ID of the target in messages, by IDOf of package quota.
	Target uint32
	// Limited is false if the target has withdrawn its limit. Rate is in requests per second.
	Limited bool
	Rate    float64
	// At is when the answer came.
	At time.Time
}

// Announced is an Observation in a message to other VMs.
type Announced struct {
	//lint:ignore U1000 the msgpack library reads its tag: an array, without field names
	_msgpack struct{} `msgpack:",as_array"`
	Target   uint32
	Limited  bool
	Rate     float64
	// AgeMillis is the time since the observation.
	AgeMillis uint32
}

// Table holds the newest observation of each target that has stated a limit lately. It is safe for
// concurrent use.
type Table struct {
	// changed is called with the current limits when a target gets, changes or loses one.
	changed func(limits map[uint32]float64)
	started time.Time
	// known is the number of observations.
	known atomic.Int32

	mu      sync.Mutex
	targets map[uint32]Observation
}

// New returns an empty table. changed must not call methods of the table.
func New(now time.Time, changed func(limits map[uint32]float64)) *Table {
	return &Table{changed: changed, started: now, targets: make(map[uint32]Observation)}
}

// Observe records what a target stated in the answer to a request that was sent at sentAt. It
// reports whether that changes the target's limit.
func (t *Table) Observe(o Observation, sentAt time.Time) (changed bool) {
	if !o.Limited && t.known.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	last, known := t.targets[o.Target]
	// An answer without a limit may be older than one that has it, and have taken longer.
	if !o.Limited && (!known || sentAt.Before(last.At)) {
		return false
	}
	return t.set(o)
}

// Merge records the observations that another VM has announced, and returns those that change the
// limit of a target.
func (t *Table) Merge(now time.Time, announced []Announced) (changes []Observation) {
	if len(announced) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range announced {
		age := time.Duration(a.AgeMillis)*time.Millisecond + maxTransit
		if age >= observationTTL {
			continue
		}
		o := Observation{Target: a.Target, Limited: a.Limited, Rate: a.Rate, At: now.Add(-age)}
		if t.set(o) {
			changes = append(changes, o)
		}
	}
	return changes
}

// set requires the lock.
func (t *Table) set(o Observation) (changed bool) {
	last, known := t.targets[o.Target]
	if known && !o.At.After(last.At) {
		return false
	}
	t.targets[o.Target] = o
	t.known.Store(int32(len(t.targets)))
	if last.Limited == o.Limited && last.Rate == o.Rate {
		return false
	}
	t.changed(t.limits())
	return true
}

// limits requires the lock.
func (t *Table) limits() map[uint32]float64 {
	limits := make(map[uint32]float64)
	for target, o := range t.targets {
		if o.Limited {
			limits[target] = o.Rate
		}
	}
	return limits
}

// Limit returns the limit of a target, and false if it has none.
func (t *Table) Limit(target uint32) (rate float64, limited bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o, known := t.targets[target]
	return o.Rate, known && o.Limited
}

// ObservedAt returns when the answer came that the observation of a target is from.
func (t *Table) ObservedAt(target uint32) (at time.Time, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o, known := t.targets[target]
	return o.At, known
}

// Expire drops observations that have become too old.
func (t *Table) Expire(now time.Time) {
	if t.known.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	dropped := false
	for target, o := range t.targets {
		if now.Sub(o.At) >= observationTTL {
			delete(t.targets, target)
			dropped = dropped || o.Limited
		}
	}
	t.known.Store(int32(len(t.targets)))
	if dropped {
		t.changed(t.limits())
	}
}

// Announcement returns observations for other VMs: at most maxAnnounced, others each
// AnnounceInterval.
func (t *Table) Announcement(now time.Time) []Announced {
	if t.known.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Announced, 0, len(t.targets))
	for _, o := range t.targets {
		all = append(all, Announced{Target: o.Target, Limited: o.Limited, Rate: o.Rate, AgeMillis: uint32(now.Sub(o.At).Milliseconds())})
	}
	slices.SortFunc(all, func(a, b Announced) int { return cmp.Compare(a.Target, b.Target) })
	if len(all) <= maxAnnounced {
		return all
	}
	first := int(now.Sub(t.started)/AnnounceInterval) * maxAnnounced % len(all)
	rotated := append(slices.Clone(all[first:]), all[:first]...)
	return rotated[:maxAnnounced]
}
