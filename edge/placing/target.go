package placing

import (
	"time"

	"github.com/yuccaroute/yuccaroute/edge/site"
)

const (
	// targetQueue is how many requests a target may have beyond its slots. They keep it
	// busy during the round trip and until all VMs have the new counts.
	targetQueue = 2
	// cautionAfterRest is how long after a target has asked for a rest those of its service get no
	// requests beyond their slots.
	cautionAfterRest = 30 * time.Second
	// warmTTL is how long a target is assumed to be warm for a key that it handled.
	warmTTL = 12 * time.Second
	// maxWarmKeys bounds the keys that one target is assumed to be warm for; targets do not
	// report the size of their cache.
	maxWarmKeys = 48
	// failureSmoothing is the weight of one outcome in a target's failure ratio.
	failureSmoothing = 0.2
	// failurePenalty is the expected cost of a failure, which forces a retry.
	failurePenalty = 800 * time.Millisecond
	// slowdownSmoothing is the weight of one response in a target's slowdown.
	slowdownSmoothing = 0.3
	// timeoutSmoothing is the weight of an abandoned request in a target's slowdown. It is
	// greater because the request would have taken even longer.
	timeoutSmoothing = 0.5
	// observationTTL is how long a target's slowdown and failures count without new
	// samples. A slow target gets few requests and could otherwise not show its recovery.
	observationTTL = 3 * time.Second
	// slowThreshold is the slowdown, and the factor of the pace either way, from which a target's
	// responses are excluded from the service time estimates.
	slowThreshold = 1.7
	// minEjection and maxEjection bound the backoff between probes of an ejected target.
	minEjection = 400 * time.Millisecond
	maxEjection = 3 * time.Second
	// coldMargin extends the reported cold period to cover the delay of the report.
	coldMargin = 500 * time.Millisecond
)

// Target is the state of one target on this VM. The fields that identify it never change;
// the balancer's lock guards all others, including Slots.
type Target struct {
	site.Target
	Region string
	// Incarnation identifies this start of the target, identically on all VMs.
	Incarnation uint64
	hash        uint64
	// rtt is the network round-trip time.
	rtt time.Duration
	// usable is false for leaving targets and those in evacuated domains.
	usable, evacuated bool
	// unreached is set while this VM reaches no target of the service in the region.
	unreached bool
	// leaving is true for targets that are draining, by their registration or by what they have
	// stated, and for those no longer registered.
	leaving bool
	// stated is nil if the target has stated nothing.
	stated *statement
	// local and remote count the requests in flight from this VM and from all others.
	local  int
	remote *remoteCount
	// warm holds the time of the last request for each key.
	warm map[uint64]time.Time
	// failures is the ratio of failed requests, slowdown the ratio of actual to expected
	// service time; observedAt is when they last changed.
	failures, slowdown float64
	observedAt         time.Time
	ejectedUntil       time.Time
	ejection           time.Duration
	// needsProbe is set if the target must pass a health probe before it gets requests.
	needsProbe bool
	coldUntil  time.Time
	cold       coldLimiter
	// cautiousUntil is until when the target gets no requests beyond its slots.
	cautiousUntil time.Time
	// limit is nil if the target has stated no limit.
	limit RateLimit
	// load is nil if the target has not stated its load with its pace.
	load *targetLoad
}

// inFlight returns the number of requests of all VMs at the target.
func (t *Target) inFlight() int { return t.local + t.load.others(t.remote.n) }

// full reports whether one more request would wait at the target.
func (t *Target) full() bool { return t.inFlight() >= t.Slots }

// canAccept reports whether the target may get one more request.
func (t *Target) canAccept(now time.Time) bool {
	return t.available(now) && t.inFlight() < t.Slots+t.queueLength(now) && t.admits(now)
}

// queueLength returns how many requests the target may have beyond its slots. There are none while
// targets of its service have lately asked for a rest: counts of other VMs' requests are old, so that the
// target would refuse some too.
func (t *Target) queueLength(now time.Time) int {
	if now.Before(t.cautiousUntil) {
		return 0
	}
	return targetQueue
}

// admits reports whether the rates that limit the target, if any, permit one more request of this
// VM.
func (t *Target) admits(now time.Time) bool {
	return (!now.Before(t.coldUntil) || t.cold.allows(now)) && !t.isRateLimited()
}

// isRateLimited reports whether the limit that the target has stated forbids a request now.
func (t *Target) isRateLimited() bool { return t.limit != nil && !t.limit.Ready() }

// available reports whether the target counts towards the region's capacity.
func (t *Target) available(now time.Time) bool {
	return t.isReachable(now) && !t.stated.isResting(now)
}

// isReachable reports whether the target may get requests unless it has asked for a rest.
func (t *Target) isReachable(now time.Time) bool {
	return t.usable && !t.unreached && !t.needsProbe && !now.Before(t.ejectedUntil)
}

func (t *Target) isWarm(key uint64, now time.Time) bool {
	at, ok := t.warm[key]
	return ok && now.Sub(at) < warmTTL
}

// markWarm records that the target handles a key and evicts the oldest key if there are
// more than maxWarmKeys.
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

// freshness returns the weight of the last observations, which falls linearly from 1 to 0.
func (t *Target) freshness(now time.Time) float64 {
	return max(0, 1-float64(now.Sub(t.observedAt))/float64(observationTTL))
}

// currentSlowdown returns the slowdown adjusted for its age; it is at least 1.
func (t *Target) currentSlowdown(now time.Time) float64 { return 1 + (t.slowdown-1)*t.freshness(now) }

// cost returns the expected completion time of a request, including the round trip and the
// expected cost of failures.
func (t *Target) cost(now time.Time, class *Class, warm bool, averages serviceAverages) time.Duration {
	slowdown := t.currentSlowdown(now) * t.paceFactor(now, class.serviceTime(warm))
	work := float64(class.serviceTime(warm)) * slowdown
	waiting := max(0, t.inFlight()+1-t.Slots)
	wait := float64(averages.occupancy) * slowdown * float64(waiting) / float64(t.Slots)
	// Prefers the less loaded of otherwise equal targets.
	wait += 0.02 * work * float64(t.inFlight()) / float64(t.Slots)
	failures := averages.failures.excess(t.failures*t.freshness(now)) * float64(failurePenalty)
	return t.rtt + time.Duration(work+wait+failures)
}

// recordSuccess records a response; took excludes the network round trip.
func (t *Target) recordSuccess(now time.Time, class *Class, warm bool, took time.Duration) {
	sentAt := now.Add(-took - t.rtt)
	took, paceFactor := t.atMeanPace(now, took)
	ratio := max(1, float64(took)/float64(max(class.serviceTime(warm), time.Millisecond)))
	t.load.recordRatio(now, sentAt, ratio, slowdownSmoothing)
	t.slowdown = t.currentSlowdown(now) + slowdownSmoothing*(ratio-t.currentSlowdown(now))
	t.failures = (1 - failureSmoothing) * t.failures * t.freshness(now)
	t.observedAt = now
	t.ejection = 0
	// The conversion by a far pace is uncertain, and wrong if the target states a wrong one.
	isUsual := paceFactor >= 1/slowThreshold && paceFactor <= slowThreshold
	if t.slowdown < slowThreshold && isUsual && now.After(t.coldUntil) {
		class.observe(warm, took)
	}
}

// recordTimeout records that a request was abandoned without a response. The time waited is
// a lower bound of the service time, so a target that is too slow to answer in time is
// noticed too.
func (t *Target) recordTimeout(now time.Time, class *Class, warm bool, waited time.Duration) {
	expected := float64(max(class.serviceTime(warm), time.Millisecond))
	converted, _ := t.atMeanPace(now, waited)
	ratio := float64(converted) / expected
	if ratio <= max(slowThreshold, t.currentSlowdown(now)) {
		return
	}
	t.load.recordRatio(now, now.Add(-waited-t.rtt), ratio, timeoutSmoothing)
	t.slowdown = t.currentSlowdown(now) + timeoutSmoothing*(ratio-t.currentSlowdown(now))
	t.failures *= t.freshness(now)
	t.observedAt = now
}

// recordFailure records a failed request. A target is ejected only if no connection could be
// made. One that refuses or fails requests only costs more: ejecting it would leave its
// slots idle while the others are full.
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
