package balance

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/yuccaroute/yuccaroute/proxy/eject"
)

// Bounds of what is learnt of a target.
const (
	latencyWeight = 0.2
	// InitialLatency is assumed of a target that has not answered yet.
	InitialLatency = 10 * time.Millisecond
	// estimateLife is how long after its last request the latency of a target has
	// no say any more in the choice.
	estimateLife = 10 * time.Second
	// ShedPause is how long a target that refused work gets none.
	ShedPause = 20 * time.Millisecond
)

// Target is one target as this node sees it. Choosing reads atomics only.
type Target struct {
	Health *eject.Health

	outstanding atomic.Int32
	limit       atomic.Int32
	// listed and told say that the target is leaving, by the VM list and by
	// the target itself. The list lags, so it does not take back what the
	// target told.
	listed, told atomic.Bool
	// shedUntil keeps new work away from a target that just refused some.
	shedUntil atomic.Int64
	// latency is the moving average of served requests, float64 bits of ns.
	latency atomic.Uint64
	// chosenAt is when the target was chosen last, idle the longest time between
	// two choices since the last request that was served, both in ns.
	chosenAt, idle atomic.Int64
}

// NewTarget returns a target that begins its ramp now and takes at most limit
// requests of this node at once.
func NewTarget(now int64, limit int) *Target {
	t := &Target{Health: eject.NewHealth(now)}
	t.limit.Store(int32(limit))
	t.latency.Store(math.Float64bits(float64(InitialLatency)))
	t.chosenAt.Store(now)
	return t
}

// SetLimit changes how many requests of this node the target takes at once.
func (t *Target) SetLimit(limit int) { t.limit.Store(int32(limit)) }

// Limit returns how many requests of this node the target takes at once.
func (t *Target) Limit() int { return int(t.limit.Load()) }

// SetListedLeaving stores what the VM list says.
func (t *Target) SetListedLeaving(leaving bool) { t.listed.Store(leaving) }

// MarkLeaving stores that the target itself said it takes no new work.
func (t *Target) MarkLeaving() { t.told.Store(true) }

// Leaving reports whether the target gets no new work for good.
func (t *Target) Leaving() bool { return t.listed.Load() || t.told.Load() }

// RecordShed keeps new work away for ShedPause: the target is known overloaded.
func (t *Target) RecordShed(now int64) { t.shedUntil.Store(now + int64(ShedPause)) }

// Outstanding returns this node's requests at the target.
func (t *Target) Outstanding() int { return int(t.outstanding.Load()) }

// Acquire takes one of the node's slots at the target.
func (t *Target) Acquire() bool {
	for {
		n := t.outstanding.Load()
		if n >= t.limit.Load() {
			return false
		}
		if t.outstanding.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// Release gives the slot back.
func (t *Target) Release() { t.outstanding.Add(-1) }

// chosen notes that a request goes to the target.
func (t *Target) chosen(now int64) {
	idle := now - t.chosenAt.Swap(now)
	if idle > t.idle.Load() {
		t.idle.Store(idle)
	}
}

// RecordLatency counts the latency of a request that the target served, for more after
// the target was idle. Failures do not count: a target that fails fast would look
// like the best one.
func (t *Target) RecordLatency(latency time.Duration) {
	weight := min(1, max(latencyWeight, float64(t.idle.Swap(0))/float64(estimateLife)))
	for {
		old := t.latency.Load()
		mean := math.Float64frombits(old)
		mean += weight * (float64(latency) - mean)
		if t.latency.CompareAndSwap(old, math.Float64bits(mean)) {
			return
		}
	}
}

// Latency returns the moving average.
func (t *Target) Latency() time.Duration {
	return time.Duration(math.Float64frombits(t.latency.Load()))
}

// Usable reports whether the target may get new work.
func (t *Target) Usable(now int64) bool {
	return !t.Leaving() && !t.Health.Ejected(now)
}
