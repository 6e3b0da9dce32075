package placing

import (
	"time"

	"github.com/yuccaroute/yuccaroute/edge/site"
)

const (
	// targetQueue is how many requests a target may have beyond its slots: they keep it
	// busy while answers are on their way back and until all VMs have the new counts.
	targetQueue = 2
	// warmTTL is how long a target is taken to be warm for a key that it handled.
	warmTTL = 12 * time.Second
	// maxWarmKeys bounds the keys that one target is taken to be warm for: it does not tell
	// how many it keeps.
	maxWarmKeys = 48
	// failureSmoothing is the weight of one outcome in a target's share of failures.
	failureSmoothing = 0.2
	// failurePenalty is how much later a target that always fails is taken to
	// answer: the caller has to retry.
	failurePenalty = 800 * time.Millisecond
	// slowdownSmoothing is the weight of one answer in a target's slowness.
	slowdownSmoothing = 0.3
	// timeoutSmoothing is the weight of a request that was given up: it would have taken
	// longer still.
	timeoutSmoothing = 0.5
	// observationTTL is how long a target's slowness and failures last without
	// news: it gets few requests, and would never show that it is well again.
	observationTTL = 3 * time.Second
	// slowThreshold is the slowness from which on answers of a target say nothing about work.
	slowThreshold = 1.7
	// minEjection and lastEjection bound how long a target gets nothing.
	minEjection = 400 * time.Millisecond
	maxEjection = 3 * time.Second
	// coldMargin is added to the time a target says it is cold: it said so
	// before it was read here.
	coldMargin = 500 * time.Millisecond
)

// Target is one target as this VM sees it. What names it never changes; the balancer's
// lock guards the rest, the slots included.
type Target struct {
	site.Target
	Region string
	hash   uint64
	// rtt is the network's, to the target and back.
	rtt time.Duration
	// usable is false for draining targets and those in evacuated domains.
	usable, evacuated bool
	// leaving is true for draining targets and those that are listed no more.
	leaving bool
	// local and remote count the requests in flight, of this VM and of all others.
	local  int
	remote *remoteCount
	warm   map[uint64]time.Time
	// failures is the share of failed requests, slowdown how many times longer than
	// expected it works; news is when they last changed.
	failures, slowdown float64
	observedAt         time.Time
	ejectedUntil       time.Time
	ejection           time.Duration
	// needsProbe tells that the target must pass a probe before it gets requests.
	needsProbe bool
	coldUntil  time.Time
	cold       coldLimiter
}

// inFlight is the number of requests at the target, of all VMs.
func (t *Target) inFlight() int { return t.local + t.remote.n }

// full reports whether one more request would wait at the target.
func (t *Target) full() bool { return t.inFlight() >= t.Slots }

// canAccept reports whether the target may get one more request.
func (t *Target) canAccept(now time.Time) bool {
	if !t.usable || t.needsProbe || now.Before(t.ejectedUntil) || t.inFlight() >= t.Slots+targetQueue {
		return false
	}
	return t.admits(now)
}

// admits reports whether the target bears one more request of this VM: while it is
// cold, only as many as its rate allows.
func (t *Target) admits(now time.Time) bool {
	return !now.Before(t.coldUntil) || t.cold.allows(now)
}

// available reports whether the target takes part in the region's capacity.
func (t *Target) available(now time.Time) bool {
	return t.usable && !t.needsProbe && !now.Before(t.ejectedUntil)
}

// isWarm reports whether the target is taken to be warm for a key.
func (t *Target) isWarm(key uint64, now time.Time) bool {
	at, ok := t.warm[key]
	return ok && now.Sub(at) < warmTTL
}

// markWarm notes that the target handles a key, in place of the oldest one if there are
// too many.
func (t *Target) markWarm(key uint64, now time.Time) {
	t.warm[key] = now
	if len(t.warm) <= maxWarmKeys {
		return
	}
	oldest, at := key, now
	for k, when := range t.warm {
		if when.Before(at) {
			oldest, at = k, when
		}
	}
	delete(t.warm, oldest)
}

// freshness returns how much of what was learnt still holds.
func (t *Target) freshness(now time.Time) float64 {
	return max(0, 1-float64(now.Sub(t.observedAt))/float64(observationTTL))
}

// currentSlowdown is at least 1.
func (t *Target) currentSlowdown(now time.Time) float64 { return 1 + (t.slowdown-1)*t.freshness(now) }

// cost is when a request is expected to end there, from now on.
func (t *Target) cost(now time.Time, class *Class, warm bool, u serviceAverages) time.Duration {
	work := float64(class.serviceTime(warm)) * t.currentSlowdown(now)
	ahead := max(0, t.inFlight()+1-t.Slots)
	wait := float64(u.occupancy) * t.currentSlowdown(now) * float64(ahead) / float64(t.Slots)
	// Targets that fill up are a little dearer, so that equal ones share the load.
	wait += 0.02 * work * float64(t.inFlight()) / float64(t.Slots)
	failing := u.failures.excess(t.failures*t.freshness(now)) * float64(failurePenalty)
	return t.rtt + time.Duration(work+wait+failing)
}

// recordSuccess takes in an answer; took is without the network's delay.
func (t *Target) recordSuccess(now time.Time, class *Class, warm bool, took time.Duration) {
	ratio := max(1, float64(took)/float64(max(class.serviceTime(warm), time.Millisecond)))
	t.slowdown = t.currentSlowdown(now) + slowdownSmoothing*(ratio-t.currentSlowdown(now))
	t.failures = (1 - failureSmoothing) * t.failures * t.freshness(now)
	t.observedAt = now
	t.ejection = 0
	if t.slowdown < slowThreshold && now.After(t.coldUntil) {
		class.observe(warm, took)
	}
}

// recordTimeout takes in that a target had not answered after a time.
//
// Guard against targets that have become so slow that no caller waits for their answers: it
// shows as callers that time out for as long as the target is slow, as slowness was learnt
// from answers only. The guard holds because a request that is given up has taken at least
// as long as it was waited for.
func (t *Target) recordTimeout(now time.Time, class *Class, warm bool, waited time.Duration) {
	ratio := float64(waited) / float64(max(class.serviceTime(warm), time.Millisecond))
	if ratio <= max(slowThreshold, t.currentSlowdown(now)) {
		return
	}
	t.slowdown = t.currentSlowdown(now) + timeoutSmoothing*(ratio-t.currentSlowdown(now))
	t.failures *= t.freshness(now)
	t.observedAt = now
}

// recordFailure takes in a failure; unreachable tells that no connection could be had, which
// ejects the target.
//
// One that answers, though with refusals or failures, is made dearer and goes on getting
// requests. Load pattern: a third of the targets refuses or loses half of its requests for
// some seconds. Ejected after a few failures in a row they would all stand empty by turns
// while the others are full.
func (t *Target) recordFailure(now time.Time, unreachable bool) {
	faded := t.failures * t.freshness(now)
	t.failures = faded + failureSmoothing*(1-faded)
	t.slowdown = t.currentSlowdown(now)
	t.observedAt = now
	if !unreachable {
		return
	}
	t.ejection = min(max(minEjection, 2*t.ejection), maxEjection)
	t.ejectedUntil = now.Add(t.ejection)
	t.needsProbe = true
}
