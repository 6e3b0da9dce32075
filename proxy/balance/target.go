package balance

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/yuccaroute/yuccaroute/proxy/eject"
)

// Parameters of the per-target statistics.
const (
	// latencySmoothing is the weight of one request in the latency average.
	latencySmoothing = 0.2
	// InitialLatency is the assumed latency of a target without responses yet.
	InitialLatency = 10 * time.Millisecond
	// estimateLifetime is the time after which the latency of an unused target no
	// longer affects selection.
	estimateLifetime = 10 * time.Second
	// ShedPause is how long a target gets no work after it refused a request.
	ShedPause = 20 * time.Millisecond
)

// Target holds this node's view of one target. Selection reads only atomics.
type Target struct {
	Health *eject.Health

	outstanding atomic.Int32
	limit       atomic.Int32
	// listedLeaving is set from the VM list, reportedLeaving by the target itself.
	// They are separate because the list lags and must not clear what the target
	// reported.
	listedLeaving, reportedLeaving atomic.Bool
	// shedUntil is the end of the pause after a refused request.
	shedUntil atomic.Int64
	// latency is the moving average of successful requests in ns, as float64 bits.
	latency atomic.Uint64
	// chosenAt is when the target was last chosen, maxIdle the longest time
	// between two choices since the last successful request, both in ns.
	chosenAt, maxIdle atomic.Int64
}

// NewTarget returns a target that starts its ramp now and accepts up to limit
// concurrent requests of this node.
func NewTarget(now int64, limit int) *Target {
	t := &Target{Health: eject.NewHealth(now)}
	t.limit.Store(int32(limit))
	t.latency.Store(math.Float64bits(float64(InitialLatency)))
	t.chosenAt.Store(now)
	return t
}

// SetLimit changes the limit on this node's concurrent requests.
func (t *Target) SetLimit(limit int) { t.limit.Store(int32(limit)) }

// Limit returns the limit on this node's concurrent requests.
func (t *Target) Limit() int { return int(t.limit.Load()) }

// SetListedLeaving stores whether the VM list marks the target as leaving.
func (t *Target) SetListedLeaving(leaving bool) { t.listedLeaving.Store(leaving) }

// MarkLeaving records that the target itself reported that it takes no new work.
func (t *Target) MarkLeaving() { t.reportedLeaving.Store(true) }

// Leaving reports whether the target permanently gets no new work.
func (t *Target) Leaving() bool { return t.listedLeaving.Load() || t.reportedLeaving.Load() }

// RecordShed pauses new work to the overloaded target for ShedPause.
func (t *Target) RecordShed(now int64) { t.shedUntil.Store(now + int64(ShedPause)) }

// Outstanding returns the number of this node's requests in flight at the target.
func (t *Target) Outstanding() int { return int(t.outstanding.Load()) }

// Acquire takes one of this node's slots at the target, or returns false if none
// is free.
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

// Release frees a slot taken by Acquire.
func (t *Target) Release() { t.outstanding.Add(-1) }

// recordChoice updates the idle time before a request is sent to the target.
func (t *Target) recordChoice(now int64) {
	idle := now - t.chosenAt.Swap(now)
	if idle > t.maxIdle.Load() {
		t.maxIdle.Store(idle)
	}
}

// RecordLatency adds the latency of a successful request to the average, with a
// higher weight after an idle time. Failures are not counted: a target that fails
// fast would seem to be the best one.
func (t *Target) RecordLatency(latency time.Duration) {
	weight := min(1, max(latencySmoothing, float64(t.maxIdle.Swap(0))/float64(estimateLifetime)))
	for {
		old := t.latency.Load()
		mean := math.Float64frombits(old)
		mean += weight * (float64(latency) - mean)
		if t.latency.CompareAndSwap(old, math.Float64bits(mean)) {
			return
		}
	}
}

// Latency returns the moving average of the latency of successful requests.
func (t *Target) Latency() time.Duration {
	return time.Duration(math.Float64frombits(t.latency.Load()))
}

// Usable reports whether the target may get new work.
func (t *Target) Usable(now int64) bool {
	return !t.Leaving() && !t.Health.Ejected(now)
}
