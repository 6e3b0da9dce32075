package returns

import (
	"slices"
	"time"
)

const (
	// matchTolerance is how far apart two tries of a caller may seem to give up: the stated times
	// are in milliseconds and the network delays them. claimTolerance is that of a caller for whom a
	// place is due, which few others of its key can be taken for. Busy VMs read requests tens of
	// milliseconds late.
	matchTolerance = 10 * time.Millisecond
	claimTolerance = 50 * time.Millisecond
	// crowdedFrom is the number of promises of one key from which the callers of the key may be too
	// many to recognize one by when it gives up, and maxFalseMatches the fraction of other callers
	// that may be taken for one that is known.
	crowdedFrom     = 5
	maxFalseMatches = 0.2
	// recognitionSmoothing is the weight of one promise in the share of recognized callers, and
	// minRecognized the share from which callers that are not recognized are new ones.
	recognitionSmoothing = 0.05
	minRecognized        = 0.3
)

// Status is what is known of a request from earlier refusals.
type Status int

const (
	// New: no promise.
	New Status = iota
	// Kept: the caller has come back in time and is served before others of its rank.
	Kept
	// Early: the caller has come back before the time that it was told.
	Early
	// Lapsed: the caller has come back after its place was given up.
	Lapsed
)

// String implements fmt.Stringer. It returns "" for New.
func (s Status) String() string {
	return [...]string{New: "", Kept: "kept", Early: "early", Lapsed: "lapsed"}[s]
}

// Claim decides on a request, which may be one that comes back. A promise is kept once. For an early
// one, left is the time until it should come back; its promise stays.
func (l *Ledger) Claim(now time.Time, c Caller) (s Status, left time.Duration) {
	l.Expire(now)
	list := l.callers[c.identity()]
	if p := recognize(list, c, matchTolerance); p != nil {
		return l.resume(now, p, isCrowded(list))
	}
	open := openPlaces(now, list)
	if p := recognize(open, c, claimTolerance); p != nil {
		l.keep(p, true)
		return Kept, 0
	}
	if p := l.anyOf(open, c); p != nil {
		l.keep(p, false)
		return Kept, 0
	}
	return New, 0
}

// resume decides on a request whose caller was recognized.
func (l *Ledger) resume(now time.Time, p *promise, crowded bool) (Status, time.Duration) {
	switch {
	case now.Before(p.opens()):
		if crowded {
			return New, 0
		}
		return Early, p.told.Sub(now)
	case p.reserved:
		l.keep(p, true)
		return Kept, 0
	}
	l.remove(p)
	if p.lapsed {
		return Lapsed, 0
	}
	return New, 0
}

func (l *Ledger) keep(p *promise, recognized bool) {
	l.remove(p)
	l.totals.Kept++
	l.counts.Kept++
	l.recognition.record(recognized)
}

// openPlaces returns the places of a key whose callers may come back now.
func openPlaces(now time.Time, list []*promise) (open []*promise) {
	for _, p := range list {
		if p.reserved && !now.Before(p.opens()) {
			open = append(open, p)
		}
	}
	return open
}

// anyOf returns the first of the open places of a key that a caller may use that is not recognized, nil
// if there is none.
func (l *Ledger) anyOf(open []*promise, c Caller) (first *promise) {
	anonymous := c.GivesUp.IsZero()
	if !anonymous && l.recognition.isUsual() {
		return nil
	}
	for _, p := range open {
		if p.caller.GivesUp.IsZero() == anonymous && (first == nil || p.due.Before(first.due)) {
			first = p
		}
	}
	return first
}

// recognize returns the promise to a caller that gives up when c does, nil if there is none.
func recognize(list []*promise, c Caller, tolerance time.Duration) (nearest *promise) {
	if c.GivesUp.IsZero() {
		return nil
	}
	lowest := tolerance
	for _, p := range list {
		if p.caller.GivesUp.IsZero() {
			continue
		}
		if apart := c.GivesUp.Sub(p.caller.GivesUp).Abs(); apart <= lowest {
			nearest, lowest = p, apart
		}
	}
	return nearest
}

// isCrowded reports whether so many callers of a key were refused that new ones would often be taken
// for one of them.
func isCrowded(list []*promise) bool {
	if len(list) < crowdedFrom {
		return false
	}
	span := list[len(list)-1].made.Sub(list[0].made)
	return float64(len(list))*2*float64(matchTolerance) > maxFalseMatches*float64(span)
}

// recognition measures which fraction of the promises is kept by callers that are recognized by when
// they give up. Where that is usual, others must not take their places.
type recognition struct{ share float64 }

func (r *recognition) record(recognized bool) {
	outcome := 0.0
	if recognized {
		outcome = 1
	}
	r.share += recognitionSmoothing * (outcome - r.share)
}

func (r *recognition) isUsual() bool { return r.share >= minRecognized }

// without removes a promise from a list and keeps the order of the others.
func without(list []*promise, p *promise) []*promise {
	if i := slices.Index(list, p); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
