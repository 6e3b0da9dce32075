// Package eject implements passive outlier detection: it ejects targets whose
// requests fail and returns them to use gradually. Health endpoints are not
// consulted, as they can report healthy while requests fail.
package eject

import (
	"sync"
	"sync/atomic"
	"time"
)

// Parameters of ejection and return.
const (
	// maxConsecutiveFailures is the number of consecutive failures that ejects a
	// target.
	maxConsecutiveFailures = 5
	// maxFailureRate is the share of failed requests that ejects a target.
	maxFailureRate = 0.5
	// failureSmoothing is the weight of one request in the failure rate.
	failureSmoothing = 0.1
	// minSamples is the number of requests before the failure rate is used.
	minSamples = 10
	// initialEjection is the duration of the first ejection; it doubles with each
	// ejection that follows a failed return.
	initialEjection = time.Second
	maxDoublings    = 5
	// RampDuration is the time a new or returning target takes to reach full
	// weight.
	RampDuration = 10 * time.Second
	// initialWeight is the weight at the start of the ramp. It is above zero, as a
	// target without requests would have no statistics.
	initialWeight = 0.1
)

// Guard limits how many targets are ejected.
type Guard interface {
	// MayEject reports whether the other targets can take the load of one more
	// ejected target.
	MayEject() bool
}

// Health tracks the failures of one target in the node's own traffic. Times are
// nanoseconds on any monotonic clock.
type Health struct {
	// ejectedUntil is the end of the ejection, rampStart the start of the ramp.
	// They are read on every selection without a lock.
	ejectedUntil atomic.Int64
	rampStart    atomic.Int64

	mu                  sync.Mutex
	consecutiveFailures int
	samples             int
	failureRate         float64
	ejections           int
}

// NewHealth returns the health of a target that starts its ramp now.
func NewHealth(now int64) *Health {
	h := &Health{}
	h.rampStart.Store(now)
	return h
}

// Weight returns the weight of the target in selection, from 0 (ejected) to 1.
func (h *Health) Weight(now int64) float64 {
	if now < h.ejectedUntil.Load() {
		return 0
	}
	elapsed := now - h.rampStart.Load()
	if elapsed >= int64(RampDuration) {
		return 1
	}
	if elapsed <= 0 {
		return initialWeight
	}
	return initialWeight + (1-initialWeight)*float64(elapsed)/float64(RampDuration)
}

// ActiveTime returns the time in ns since the target was created or returned to
// use.
func (h *Health) ActiveTime(now int64) int64 { return now - h.rampStart.Load() }

// Ejected reports whether the target is ejected.
func (h *Health) Ejected(now int64) bool { return now < h.ejectedUntil.Load() }

// RecordSuccess counts a successful request.
func (h *Health) RecordSuccess(now int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.consecutiveFailures = 0
	h.sample(0)
	if h.ejections > 0 && now-h.rampStart.Load() >= int64(RampDuration) {
		h.ejections = 0
	}
}

// RecordFailure counts a failed request and ejects the target if its failures
// exceed a limit and the guard permits it. It reports whether this call ejected
// the target.
func (h *Health) RecordFailure(now int64, guard Guard) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.consecutiveFailures++
	h.sample(1)
	if !h.failing() || h.Ejected(now) || !guard.MayEject() {
		return false
	}
	h.eject(now)
	return true
}

func (h *Health) sample(failed float64) {
	h.samples++
	h.failureRate += failureSmoothing * (failed - h.failureRate)
}

func (h *Health) failing() bool {
	if h.consecutiveFailures >= maxConsecutiveFailures {
		return true
	}
	return h.samples >= minSamples && h.failureRate >= maxFailureRate
}

func (h *Health) eject(now int64) {
	duration := int64(initialEjection) << min(h.ejections, maxDoublings)
	h.ejections++
	h.rampStart.Store(now + duration)
	h.ejectedUntil.Store(now + duration)
	h.consecutiveFailures = 0
	h.samples = 0
	h.failureRate = 0
}
