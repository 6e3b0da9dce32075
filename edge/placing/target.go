package placing

import (
	"time"

	"github.com/yuccaroute/yuccaroute/edge/site"
)

const (
	// targetQueue is how many requests a target may have beyond its slots: they keep it
	// busy while answers are on their way back and until all VMs have the new counts.
	targetQueue = 2
	// warmFor is how long a target is taken to be warm for a key that it handled.
	warmFor = 12 * time.Second
	// maxWarm bounds the keys that one target is taken to be warm for: it does not tell
	// how many it keeps.
	maxWarm = 48
	// failureRate is the weight of one outcome in a target's share of failures.
	failureRate = 0.2
	// failureCost is how much later a target that always fails is taken to
	// answer: the caller has to retry.
	failureCost = 800 * time.Millisecond
	// slowRate is the weight of one answer in a target's slowness.
	slowRate = 0.3
	// outlastedRate is the weight of a request that was given up: it would have taken
	// longer still.
	outlastedRate = 0.5
	// forgiveAfter is how long a target's slowness and failures last without
	// news: it gets few requests, and would never show that it is well again.
	forgiveAfter = 3 * time.Second
	// slowFrom is the slowness from which on answers of a target say nothing about work.
	slowFrom = 1.7
	// firstEjection and lastEjection bound how long a target gets nothing.
	firstEjection = 400 * time.Millisecond
	lastEjection  = 3 * time.Second
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
	// delay is the network's, to the target and back.
	delay time.Duration
	// usable is false for draining targets and those in evacuated domains.
	usable, evacuated bool
	// leaving is true for draining targets and those that are listed no more.
	leaving bool
	// local and remote count the requests in flight, of this VM and of all others.
	local  int
	remote *remoteCount
	warm   map[uint64]time.Time
	// failures is the share of failed requests, slow how many times longer than
	// expected it works; news is when they last changed.
	failures, slow float64
	news           time.Time
	ejectedUntil   time.Time
	ejection       time.Duration
	// probing tells that the target must pass a probe before it gets requests.
	probing  bool
	coldTill time.Time
	cold     coldBucket
}

// inFlight is the number of requests at the target, of all VMs.
func (t *Target) inFlight() int { return t.local + t.remote.n }

// full reports whether one more request would wait at the target.
func (t *Target) full() bool { return t.inFlight() >= t.Slots }

// open reports whether the target may get one more request.
func (t *Target) open(now time.Time) bool {
	if !t.usable || t.probing || now.Before(t.ejectedUntil) || t.inFlight() >= t.Slots+targetQueue {
		return false
	}
	return t.permits(now)
}

// permits reports whether the target bears one more request of this VM: while it is
// cold, only as many as its rate allows.
func (t *Target) permits(now time.Time) bool {
	return !now.Before(t.coldTill) || t.cold.has(now)
}

// alive reports whether the target takes part in the region's capacity.
func (t *Target) alive(now time.Time) bool {
	return t.usable && !t.probing && !now.Before(t.ejectedUntil)
}

// isWarm reports whether the target is taken to be warm for a key.
func (t *Target) isWarm(key uint64, now time.Time) bool {
	at, ok := t.warm[key]
	return ok && now.Sub(at) < warmFor
}

// markWarm notes that the target handles a key, in place of the oldest one if there are
// too many.
func (t *Target) markWarm(key uint64, now time.Time) {
	t.warm[key] = now
	if len(t.warm) <= maxWarm {
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

// fade returns how much of what was learnt still holds.
func (t *Target) fade(now time.Time) float64 {
	return max(0, 1-float64(now.Sub(t.news))/float64(forgiveAfter))
}

// slowness is at least 1.
func (t *Target) slowness(now time.Time) float64 { return 1 + (t.slow-1)*t.fade(now) }

// cost is when a request is expected to end there, from now on.
func (t *Target) cost(now time.Time, class *Class, warm bool, u usual) time.Duration {
	work := float64(class.work(warm)) * t.slowness(now)
	ahead := max(0, t.inFlight()+1-t.Slots)
	wait := float64(u.occupancy) * t.slowness(now) * float64(ahead) / float64(t.Slots)
	// Targets that fill up are a little dearer, so that equal ones share the load.
	wait += 0.02 * work * float64(t.inFlight()) / float64(t.Slots)
	failing := u.failures.beyond(t.failures*t.fade(now)) * float64(failureCost)
	return t.delay + time.Duration(work+wait+failing)
}

// succeeded takes in an answer; took is without the network's delay.
func (t *Target) succeeded(now time.Time, class *Class, warm bool, took time.Duration) {
	ratio := max(1, float64(took)/float64(max(class.work(warm), time.Millisecond)))
	t.slow = t.slowness(now) + slowRate*(ratio-t.slowness(now))
	t.failures = (1 - failureRate) * t.failures * t.fade(now)
	t.news = now
	t.ejection = 0
	if t.slow < slowFrom && now.After(t.coldTill) {
		class.learn(warm, took)
	}
}

// outlasted takes in that a target had not answered after a time.
//
// Guard against targets that have become so slow that no caller waits for their answers: it
// shows as callers that time out for as long as the target is slow, as slowness was learnt
// from answers only. The guard holds because a request that is given up has taken at least
// as long as it was waited for.
func (t *Target) outlasted(now time.Time, class *Class, warm bool, waited time.Duration) {
	ratio := float64(waited) / float64(max(class.work(warm), time.Millisecond))
	if ratio <= max(slowFrom, t.slowness(now)) {
		return
	}
	t.slow = t.slowness(now) + outlastedRate*(ratio-t.slowness(now))
	t.failures *= t.fade(now)
	t.news = now
}

// failed takes in a failure; unreachable tells that no connection could be had, which
// ejects the target.
//
// One that answers, though with refusals or failures, is made dearer and goes on getting
// requests. Load pattern: a third of the targets refuses or loses half of its requests for
// some seconds. Ejected after a few failures in a row they would all stand empty by turns
// while the others are full.
func (t *Target) failed(now time.Time, unreachable bool) {
	faded := t.failures * t.fade(now)
	t.failures = faded + failureRate*(1-faded)
	t.slow = t.slowness(now)
	t.news = now
	if !unreachable {
		return
	}
	t.ejection = min(max(firstEjection, 2*t.ejection), lastEjection)
	t.ejectedUntil = now.Add(t.ejection)
	t.probing = true
}
