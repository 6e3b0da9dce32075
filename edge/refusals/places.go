package refusals

import (
	"cmp"
	"slices"
	"time"
)

// maxPlaces bounds the services, regions and accounts whose refusals are counted separately. All take less than
// 160 KB.
const maxPlaces = 64

// Refusal is one refused request.
type Refusal struct {
	// Service is "" if the request was refused before a service was chosen, Region before a region was, and
	// Account if it has none.
	Service, Region, Account string
	// Reason is the field why of the log line.
	Reason string
}

// place counts the refusals of one account in one service and region.
type place struct {
	account
	service, region, name string
	// number is that of the last refusal of all places.
	number uint64
}

// Place is what was refused of one client account in one service and region in the last minute.
type Place struct {
	Service string `json:"service"`
	// Region is "" for requests that were refused before a region was chosen.
	Region  string   `json:"region"`
	Account string   `json:"account"`
	Refused int      `json:"refused_last_60_s"`
	Reasons []Reason `json:"reasons"`
	// Started are the accounts and ranks with the most requests that this VM sent to targets of the service in
	// the region in those of the last StartSeconds in which it refused requests of this account. The account may
	// be among them.
	Started []Started `json:"started_meanwhile"`
	during  Seconds
}

// Seconds are those of the last StartSeconds, and the one before, in which requests were refused.
type Seconds struct {
	// began is the beginning of the oldest one.
	began   time.Time
	refused [StartSeconds + 1]bool
}

// overlaps reports whether requests were refused in a second that overlaps a time.
func (s *Seconds) overlaps(from, to time.Time) bool {
	for i, refused := range s.refused {
		began := s.began.Add(time.Duration(i) * time.Second)
		if refused && began.Before(to) && began.Add(time.Second).After(from) {
			return true
		}
	}
	return false
}

// countPlace counts a refusal by its service, region and account. The place that was not refused for the longest
// time is dropped if there are too many.
func (l *Log) countPlace(now time.Time, r Refusal, second int64) {
	if r.Service == "" {
		return
	}
	l.refused++
	p := l.placeOf(r)
	p.number = l.refused
	p.ring(r.Reason, second).count(now, second)
}

func (l *Log) placeOf(r Refusal) *place {
	var oldest *place
	for _, p := range l.places {
		if p.name == r.Account && p.service == r.Service && p.region == r.Region {
			return p
		}
		if oldest == nil || p.number < oldest.number {
			oldest = p
		}
	}
	if len(l.places) < maxPlaces {
		oldest = &place{}
		l.places = append(l.places, oldest)
	}
	oldest.reset()
	oldest.service, oldest.region, oldest.name = r.Service, r.Region, r.Account
	return oldest
}

// reset forgets all refusals and keeps the memory for others.
func (a *account) reset() {
	a.reasons = slices.DeleteFunc(a.reasons, func(r *ring) bool { return r.reason == Others })
	for _, r := range a.reasons {
		r.reason, r.newest = "", -windowSeconds
	}
}

// Places returns the services, regions and accounts with refusals, those with most first. startsOf returns the
// starts in a service and region in some seconds, see Starts.Most; it is called without a lock held.
func (l *Log) Places(now time.Time, startsOf func(service, region string, during *Seconds) []Started) []Place {
	list := l.placesAt(now)
	for i := range list {
		list[i].Started = startsOf(list[i].Service, list[i].Region, &list[i].during)
	}
	slices.SortFunc(list, func(x, y Place) int {
		return cmp.Or(cmp.Compare(y.Refused, x.Refused), cmp.Compare(x.Service, y.Service), cmp.Compare(x.Region, y.Region), cmp.Compare(x.Account, y.Account))
	})
	return list
}

func (l *Log) placesAt(now time.Time) []Place {
	l.mu.Lock()
	defer l.mu.Unlock()
	list, second := []Place{}, l.second(now)
	for _, p := range l.places {
		refused, reasons := p.sums(now, second)
		if refused > 0 {
			list = append(list, Place{Service: p.service, Region: p.region, Account: p.name, Refused: refused, Reasons: reasons, during: l.secondsOf(p, second)})
		}
	}
	return list
}

// secondsOf returns in which of the last seconds a place had refusals.
func (l *Log) secondsOf(p *place, second int64) Seconds {
	first := second - StartSeconds
	s := Seconds{began: l.start.Add(time.Duration(first) * time.Second)}
	for i := range s.refused {
		s.refused[i] = slices.ContainsFunc(p.reasons, func(r *ring) bool { return r.hasAt(first + int64(i)) })
	}
	return s
}

// hasAt reports whether there was a refusal in a second.
func (r *ring) hasAt(second int64) bool {
	return second >= 0 && second <= r.newest && second > r.newest-windowSeconds && r.counts[second%windowSeconds] > 0
}
