// Package eject takes targets out of use whose own traffic fails, and brings
// them back gradually. What a health endpoint says plays no part: it can be
// fine while requests fail.
package eject

import (
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of ejection and return.
const (
	// failuresInARow ejects a target whose last requests all failed.
	failuresInARow = 5
	// failShareLimit ejects a target that fails this share of its requests.
	failShareLimit = 0.5
	// shareWeight is the weight of one request in the failure share.
	shareWeight = 0.1
	// minSamples is how many requests the share needs to be believed.
	minSamples = 10
	// firstEjection doubles with each ejection that follows a failed return.
	firstEjection = time.Second
	maxDoublings  = 5
	// RampDuration is how long a new or returning target takes to full weight.
	RampDuration = 10 * time.Second
	// startWeight is the weight at the beginning of the ramp. It is not zero,
	// or nothing would be learnt of the target.
	startWeight = 0.1
)

// Guard tells whether one more target may be taken out of use.
type Guard interface {
	// MayEject reports whether the others can carry the load.
	MayEject() bool
}

// Health is what a node knows of one target from its own traffic. Times are
// nanoseconds on any monotonic clock.
type Health struct {
	// until is when the ejection ends, rampFrom when the ramp began. They are
	// read on every choice without a lock.
	until    atomic.Int64
	rampFrom atomic.Int64

	mu        sync.Mutex
	inARow    int
	samples   int
	failShare float64
	ejections int
}

// NewHealth returns the health of a target that begins its ramp now.
func NewHealth(now int64) *Health {
	h := &Health{}
	h.rampFrom.Store(now)
	return h
}

// Weight returns the part of a full share of work that the target should get,
// 0 (ejected) to 1.
func (h *Health) Weight(now int64) float64 {
	if now < h.until.Load() {
		return 0
	}
	since := now - h.rampFrom.Load()
	if since >= int64(RampDuration) {
		return 1
	}
	if since <= 0 {
		return startWeight
	}
	return startWeight + (1-startWeight)*float64(since)/float64(RampDuration)
}

// ActiveTime returns for how long the target has been in use, in ns: since it was new or
// came back.
func (h *Health) ActiveTime(now int64) int64 { return now - h.rampFrom.Load() }

// Ejected reports whether the target is out of use.
func (h *Health) Ejected(now int64) bool { return now < h.until.Load() }

// RecordSuccess counts a request that the target served.
func (h *Health) RecordSuccess(now int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inARow = 0
	h.sample(0)
	if h.ejections > 0 && now-h.rampFrom.Load() >= int64(RampDuration) {
		h.ejections = 0
	}
}

// RecordFailure counts a request that the target failed and ejects it if the guard
// agrees. It returns whether the target was ejected by this call.
func (h *Health) RecordFailure(now int64, guard Guard) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inARow++
	h.sample(1)
	if !h.bad() || h.Ejected(now) || !guard.MayEject() {
		return false
	}
	h.eject(now)
	return true
}

func (h *Health) sample(failed float64) {
	h.samples++
	h.failShare += shareWeight * (failed - h.failShare)
}

func (h *Health) bad() bool {
	if h.inARow >= failuresInARow {
		return true
	}
	return h.samples >= minSamples && h.failShare >= failShareLimit
}

func (h *Health) eject(now int64) {
	out := int64(firstEjection) << min(h.ejections, maxDoublings)
	h.ejections++
	h.rampFrom.Store(now + out)
	h.until.Store(now + out)
	h.inARow = 0
	h.samples = 0
	h.failShare = 0
}
