package returns

import (
	"slices"
	"time"
)

const (
	// earlyWindow and lateWindow bound the time around the promised one within which a caller must
	// come back: networks delay it, and its clock is coarse.
	earlyWindow = 100 * time.Millisecond
	lateWindow  = 300 * time.Millisecond
	// noteWindow is earlyWindow for callers without a place. It is shorter, so that they do not gain a try
	// by coming back early each time.
	noteWindow = 10 * time.Millisecond
	// lapsedMemory is how long after its window a promise is known as lapsed.
	lapsedMemory = 2 * time.Second
	// minPerKey and maxKeyShare bound the places of one affinity key or account: the greater of a number and a
	// fraction of the ledger's. Callers that come back at once and start their deadline anew look
	// like many callers, and would get all places.
	minPerKey   = 4
	maxKeyShare = 0.25
)

// Ledger holds the promises of one service and region at this VM. Its methods must be called with
// times that do not decrease.
type Ledger struct {
	totals *Totals
	// places holds the promises with a reserved place, which expire when their windows close. notes
	// holds the others: times told without a place until they are near, and lapsed promises.
	places, notes schedule
	callers       map[identity][]*promise
	recognition   recognition
	counts        Counts
}

// NewLedger returns an empty ledger that counts in the totals.
func NewLedger(t *Totals) *Ledger {
	return &Ledger{totals: t, callers: make(map[identity][]*promise)}
}

// Offer bounds the time of a promise.
type Offer struct {
	// Earliest is the time until capacity becomes free.
	Earliest time.Duration
	// Interval is the least time between two promises of a rank and those above.
	Interval time.Duration
	// Target is the target that the caller's affinity key prefers, 0 if there is none, and TargetInterval
	// the least time between two promises for it. Keys do not divide evenly: without this, more callers
	// than it can serve come back to a target that many keys prefer.
	Target         uint64
	TargetInterval time.Duration
	// Latest is when the caller comes back at the latest, whatever it is told.
	Latest time.Time
}

// Promise returns after what time a refused caller should come back, and whether a place is
// reserved for it then. There is none if that is later than the caller comes back. A caller that has a
// place already keeps it; the wait is 0 if its time has come.
//
// Promises of less urgent ranks do not defer those of more urgent ones, which are served first.
func (l *Ledger) Promise(now time.Time, c Caller, o Offer) (wait time.Duration, reserved bool) {
	l.Expire(now)
	if old := recognize(l.callers[c.identity()], c, matchTolerance); old != nil {
		if old.reserved {
			return max(0, old.told.Sub(now)), true
		}
		l.remove(old)
	}
	told := l.firstFree(now, c.Rank, o)
	p := &promise{caller: c, target: o.Target, made: now, told: told, due: told}
	switch {
	case !told.After(o.Latest) && l.totals.held < MaxPromises && !l.hasMany(c):
		p.reserved, p.expires = true, p.closes()
		l.places.insert(p)
		l.totals.Promised++
		l.counts.Promised++
	case l.totals.held < maxWithNotes:
		if told.After(o.Latest) {
			p.due = o.Latest
		}
		p.expires = p.opens()
		l.notes.insert(p)
	default:
		return told.Sub(now), false
	}
	l.totals.held++
	l.callers[c.identity()] = append(l.callers[c.identity()], p)
	return told.Sub(now), p.reserved
}

// firstFree returns the first time of an offer that has its distance to all places of a rank and those
// above.
func (l *Ledger) firstFree(now time.Time, rank int, o Offer) time.Time {
	at := now.Add(o.Earliest)
	furthest := max(o.Interval, o.TargetInterval)
	for _, p := range l.places.list[l.places.firstAt(at.Add(lateWindow-furthest)):] {
		if p.due.Sub(at) >= furthest {
			break
		}
		if distance := o.distance(p); p.caller.Rank <= rank && p.due.Sub(at).Abs() < distance {
			at = p.due.Add(distance)
		}
	}
	return at
}

// distance returns the least time between an offer and a promise.
func (o *Offer) distance(p *promise) time.Duration {
	if o.Target != 0 && o.Target == p.target {
		return max(o.Interval, o.TargetInterval)
	}
	return o.Interval
}

// hasMany reports whether an affinity key or account has as many places as it may have.
func (l *Ledger) hasMany(c Caller) bool {
	n := 0
	for _, p := range l.callers[c.identity()] {
		if p.reserved {
			n++
		}
	}
	return n >= max(minPerKey, int(maxKeyShare*float64(len(l.places.list))))
}

// PendingBefore returns how many callers of a rank and those above have a place that is due until a
// time and have not come back.
func (l *Ledger) PendingBefore(now time.Time, until time.Duration, rank int) int {
	l.Expire(now)
	n, end := 0, now.Add(until)
	for _, p := range l.places.list {
		if p.due.After(end) {
			break
		}
		if p.caller.Rank <= rank {
			n++
		}
	}
	return n
}

// HasPending reports whether a caller of a rank or one above has a place and has not come back.
func (l *Ledger) HasPending(now time.Time, rank int) bool {
	l.Expire(now)
	return slices.ContainsFunc(l.places.list, func(p *promise) bool { return p.caller.Rank <= rank })
}

// Expire removes what has lapsed.
func (l *Ledger) Expire(now time.Time) {
	for p := l.places.popExpired(now); p != nil; p = l.places.popExpired(now) {
		l.totals.Lapsed++
		l.counts.Lapsed++
		l.recognition.record(false)
		p.reserved, p.lapsed = false, true
		p.expires = p.expires.Add(lapsedMemory)
		if l.totals.held > maxWithNotes {
			l.forget(p)
			continue
		}
		l.notes.insert(p)
	}
	for p := l.notes.popExpired(now); p != nil; p = l.notes.popExpired(now) {
		l.forget(p)
	}
}

// remove removes a promise from its schedule and forgets it.
func (l *Ledger) remove(p *promise) {
	if p.reserved {
		l.places.remove(p)
	} else {
		l.notes.remove(p)
	}
	l.forget(p)
}

// forget removes a promise that is in no schedule.
func (l *Ledger) forget(p *promise) {
	l.totals.held--
	id := p.caller.identity()
	list := without(l.callers[id], p)
	if len(list) == 0 {
		delete(l.callers, id)
		return
	}
	l.callers[id] = list
}
