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

// askAgain is when a line without a free slot asks its targets again: a target
// that shed work is open again after a time, which wakes nobody.
const askAgain = 10 * time.Millisecond

// slotPaceMargin is how many times slower than by the mean latencies the slots
// are taken to become free. Latencies vary, and a request that is let wait by
// the mean alone has an even chance of being refused at the end of its wait
// instead of its beginning.
const slotPaceMargin = 2

// placeState is one service in one place, over all snapshots.
type placeState struct {
	proxy *Proxy
	key   grant.Key
	// field is the place's name as answers tell it.
	field  []string
	bucket *admission.Bucket
	line   *queue.Queue[permission]
	// bulk counts bulk requests at targets.
	bulk    atomic.Int32
	targets atomic.Pointer[targetSet]
	counts  placeCounts
	// tail is how long slow answers of the place take.
	tail     tailLatency
	comeback comeback
	// roundTrip is the network delay to the place and back, in nanoseconds.
	roundTrip atomic.Int64
	// shortTold is when a shortage of the grant was told last, in the proxy's
	// time; 0 is never.
	shortTold atomic.Int64

	// The rest is guarded by the proxy's lock.
	service *model.Service
	warming sync.WaitGroup
}

func newPlaceState(p *Proxy, key grant.Key) *placeState {
	s := &placeState{
		proxy:  p,
		key:    key,
		field:  []string{string(key.Place)},
		bucket: admission.NewBucket(p.options.Clock()),
	}
	s.line = queue.New[permission](s)
	s.targets.Store(newTargetSet(nil))
	return s
}

func (s *placeState) setService(service *model.Service, roundTrip time.Duration, now int64) {
	s.service = service
	s.roundTrip.Store(int64(roundTrip))
	s.adapt(s.proxy.options.Nodes())
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
	return p, short == shortNone, wait
}

// acquire takes a slot at a target that is not marked, and one request of the
// grant. Without either it tells what is short and when to ask again.
func (s *placeState) acquire(class model.Class, skip balance.Skip) (permission, shortage, time.Duration) {
	at := s.proxy.options.Clock()
	now := s.proxy.now()
	ts := s.targets.Load()
	if class == model.Bulk && !s.bulkFits(ts, now) {
		return permission{}, shortSlot, askAgain
	}
	index := ts.set.Acquire(now, rand.Uint64(), skip)
	if index < 0 {
		return permission{}, shortSlot, askAgain
	}
	ok, wait := s.takeToken(class, at)
	if !ok {
		ts.set.Targets[index].Release()
		return permission{}, shortGrant, wait
	}
	if class == model.Bulk {
		s.bulk.Add(1)
	}
	return permission{
		place: s, target: ts.members[index], index: index, set: ts, class: class, admitted: at,
	}, shortNone, 0
}

// hasOther reports whether there is a target that may get new work and is not
// marked.
func (s *placeState) hasOther(skip balance.Skip) bool {
	now := s.proxy.now()
	for i, t := range s.targets.Load().set.Targets {
		if !skip.Has(i) && t.Usable(now) {
			return true
		}
	}
	return false
}

// bulkFits reports whether a bulk request leaves a slot to the other classes:
// an upload can hold its slot for minutes.
func (s *placeState) bulkFits(ts *targetSet, now int64) bool {
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

// Rate implements queue.Source: the lower of what the grant and what the slots
// permit.
func (s *placeState) Rate() float64 {
	rate := s.bucket.RPS(s.proxy.options.Clock())
	return min(rate, s.slotPace()/slotPaceMargin)
}

// MinWait implements queue.Source.
func (s *placeState) MinWait() time.Duration { return s.bucket.Wait(s.proxy.options.Clock()) }

// comeBack returns when a refused caller may come back, given how long a request
// would wait now.
func (s *placeState) comeBack(wait time.Duration) time.Duration {
	return s.comeback.next(time.Now(), wait, s.Rate())
}

// hasTarget reports whether any target may get new work.
func (s *placeState) hasTarget() bool {
	return s.targets.Load().set.UsableCount(s.proxy.now()) > 0
}

// lateCode names what made a waiting request late: the node's grant, or the
// targets' slots.
func (s *placeState) lateCode() result.Code {
	if s.bucket.RPS(s.proxy.options.Clock()) < s.slotPace() {
		return result.NoCapacity
	}
	return result.QueueFull
}

// countRefusal counts requests that found no grant: only more of it helps them.
func (s *placeState) countRefusal(code result.Code) {
	if code == result.NoCapacity {
		s.counts.refused.Add(1)
	}
}

func (s *placeState) slotPace() float64 {
	now := s.proxy.now()
	pace := 0.0
	for _, t := range s.targets.Load().set.Targets {
		if t.Usable(now) {
			pace += float64(t.Limit()) / t.Latency().Seconds()
		}
	}
	return pace
}

// typicalLatency returns the mean latency of the targets in use, 0 without one.
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

// answerTime returns how much of the time left a request that waits needs for
// its answer: the latency of slow answers, but at most half of what is left, or
// requests with short deadlines could not wait at all for one slow answer in a
// hundred.
func (s *placeState) answerTime(left time.Duration) time.Duration {
	return max(s.typicalLatency(), min(s.tail.get(), left/2))
}
