package proxy

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/proxy/admission"
	"github.com/yuccaroute/yuccaroute/proxy/balance"
	"github.com/yuccaroute/yuccaroute/proxy/queue"
)

// slotRetryInterval is how often a queue without a free slot checks its targets
// again: a target that shed work recovers after a time without waking the
// queue.
const slotRetryInterval = 10 * time.Millisecond

// slotRateMargin divides the rate at which slots become free by the mean
// latencies. Without a margin, half of the requests queued at the limit would
// be refused at the end of their wait.
const slotRateMargin = 2

// placeState is the state of one service in one place. It outlives snapshots.
type placeState struct {
	proxy *Proxy
	key   grant.Key
	// headerValue is the place's name as sent in response headers.
	headerValue []string
	bucket      *admission.Bucket
	queue       *queue.Queue[permission]
	// bulk counts the bulk requests at targets.
	bulk          atomic.Int32
	targets       atomic.Pointer[targetSet]
	counts        placeCounts
	tailLatency   tailLatency
	retrySchedule retrySchedule
	// roundTrip is the network round-trip time to the place, in nanoseconds.
	roundTrip atomic.Int64
	// shortageReportedAt is when a grant shortage was last reported, as
	// Proxy.now; 0 is never.
	shortageReportedAt atomic.Int64

	// Proxy.mu guards the rest.
	service *model.Service
	warming sync.WaitGroup
}

func newPlaceState(p *Proxy, key grant.Key) *placeState {
	s := &placeState{
		proxy:       p,
		key:         key,
		headerValue: []string{string(key.Place)},
		bucket:      admission.NewBucket(p.options.Clock()),
	}
	s.queue = queue.New[permission](s)
	s.targets.Store(newTargetSet(nil))
	return s
}

func (s *placeState) setService(service *model.Service, roundTrip time.Duration, now int64) {
	s.service = service
	s.roundTrip.Store(int64(roundTrip))
	s.updateLimits(s.proxy.options.Nodes())
}

func (s *placeState) close() {
	s.warming.Wait()
	for _, t := range s.targets.Load().members {
		t.pool.Close()
	}
}

// Acquire implements queue.Source.
func (s *placeState) Acquire(class model.Class) (permission, bool, time.Duration) {
	p, short, wait := s.acquire(class, 0)
	return p, short == noShortage, wait
}

// acquire takes a slot at a target that is not in skip, and one token of the
// grant. If either is missing, it returns which one and when to try again.
func (s *placeState) acquire(class model.Class, skip balance.Skip) (permission, shortage, time.Duration) {
	at := s.proxy.options.Clock()
	now := s.proxy.now()
	ts := s.targets.Load()
	if class == model.Bulk && !s.admitsBulk(ts, now) {
		return permission{}, slotShortage, slotRetryInterval
	}
	index := ts.set.Acquire(now, rand.Uint64(), skip)
	if index < 0 {
		return permission{}, slotShortage, slotRetryInterval
	}
	ok, wait := s.takeToken(class, at)
	if !ok {
		ts.set.Targets[index].Release()
		return permission{}, grantShortage, wait
	}
	if class == model.Bulk {
		s.bulk.Add(1)
	}
	return permission{
		place: s, target: ts.members[index], index: index, set: ts, class: class, admittedAt: at,
	}, noShortage, 0
}

// hasOtherTarget reports whether a target that is not in skip may get new
// requests.
func (s *placeState) hasOtherTarget(skip balance.Skip) bool {
	now := s.proxy.now()
	for i, t := range s.targets.Load().set.Targets {
		if !skip.Has(i) && t.Usable(now) {
			return true
		}
	}
	return false
}

// admitsBulk reports whether a bulk request leaves a slot to the other classes:
// an upload can hold its slot for minutes.
func (s *placeState) admitsBulk(ts *targetSet, now int64) bool {
	slots, free := ts.set.Slots(now)
	if slots <= 1 {
		return free > 0
	}
	return free >= 2 && int(s.bulk.Load()) < slots/2
}

func (s *placeState) takeToken(class model.Class, now time.Time) (bool, time.Duration) {
	if class != model.Bulk {
		return s.bucket.Take(now)
	}
	return s.bucket.TakeLowPriority(now)
}

func (s *placeState) returnToken() { s.bucket.Return(s.proxy.options.Clock()) }

// Release implements queue.Source.
func (s *placeState) Release(p permission) { p.cancel() }

// Rate implements queue.Source with the lower of the rates that the grant and
// the slots allow.
func (s *placeState) Rate() float64 {
	rate := s.bucket.RPS(s.proxy.options.Clock())
	return min(rate, s.slotRate()/slotRateMargin)
}

// MinWait implements queue.Source.
func (s *placeState) MinWait() time.Duration { return s.bucket.Wait(s.proxy.options.Clock()) }

// retryAfter returns when a refused caller may retry, given how long a request
// would wait now.
func (s *placeState) retryAfter(wait time.Duration) time.Duration {
	return s.retrySchedule.next(time.Now(), wait, s.Rate())
}

// hasTarget reports whether any target may get new requests.
func (s *placeState) hasTarget() bool {
	return s.targets.Load().set.UsableCount(s.proxy.now()) > 0
}

// queueTimeoutCode returns whether the node's grant or the targets' slots made
// a queued request late.
func (s *placeState) queueTimeoutCode() result.Code {
	if s.bucket.RPS(s.proxy.options.Clock()) < s.slotRate() {
		return result.NoCapacity
	}
	return result.QueueFull
}

// countRefusal counts requests that only a larger grant would have admitted.
func (s *placeState) countRefusal(code result.Code) {
	if code == result.NoCapacity {
		s.counts.refused.Add(1)
	}
}

func (s *placeState) slotRate() float64 {
	now := s.proxy.now()
	rate := 0.0
	for _, t := range s.targets.Load().set.Targets {
		if t.Usable(now) {
			rate += float64(t.Limit()) / t.Latency().Seconds()
		}
	}
	return rate
}

// typicalLatency returns the mean latency of the usable targets, 0 without one.
func (s *placeState) typicalLatency() time.Duration {
	now := s.proxy.now()
	sum, n := time.Duration(0), 0
	for _, t := range s.targets.Load().set.Targets {
		if t.Usable(now) {
			sum += t.Latency()
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / time.Duration(n)
}

// reservedForAnswer returns how much of the time left a queued request reserves
// for its answer. The tail latency counts up to half of the time left, so that
// requests with short deadlines can still be queued.
func (s *placeState) reservedForAnswer(left time.Duration) time.Duration {
	return max(s.typicalLatency(), min(s.tailLatency.estimate(), left/2))
}
