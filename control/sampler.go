package control

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/observe"
)

// shortSample is how long the demand of a node that is short is counted for its
// report: shorter and chance prevails, longer and the callers wait for it.
const shortSample = 200 * time.Millisecond

// samples are reports by account.
type samples map[model.AccountName]observe.Report

// sampler takes what was measured. A report out of turn covers the last moments
// only, a regular one all since the last regular one; both read the same counts,
// which reading resets.
type sampler struct {
	read func(interval time.Duration) []observe.Report
	last time.Time
	// whole is since the last regular sample, recent since the cut; it is nil
	// while no report out of turn is due.
	whole, recent samples
}

func newSampler(read func(time.Duration) []observe.Report, now time.Time) *sampler {
	return &sampler{read: read, last: now, whole: make(samples)}
}

// regular returns what was measured since the last call.
func (s *sampler) regular(now time.Time) samples {
	s.take(now)
	all := s.whole
	s.whole = make(samples, len(all))
	return all
}

// cut begins the interval of sinceCut.
func (s *sampler) cut(now time.Time) {
	s.take(now)
	s.recent = make(samples)
}

// sinceCut returns what was measured since the call of cut.
func (s *sampler) sinceCut(now time.Time) samples {
	s.take(now)
	recent := s.recent
	s.recent = nil
	return recent
}

func (s *sampler) take(now time.Time) {
	interval := now.Sub(s.last)
	s.last = now
	for _, r := range s.read(interval) {
		s.whole.add(r)
		if s.recent != nil {
			s.recent.add(r)
		}
	}
}

// add joins a report with those of earlier parts of the same interval.
func (s samples) add(r observe.Report) {
	old, ok := s[r.Account]
	if ok && old.Interval > 0 {
		r = observe.Join(old, r)
	}
	s[r.Account] = r
}
