package control

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/observe"
)

// earlySampleTime is how long demand is measured for an early report. Shorter samples
// are too noisy; longer ones delay the waiting callers.
const earlySampleTime = 200 * time.Millisecond

// samples maps accounts to reports.
type samples map[model.AccountName]observe.Report

// sampler collects measurements for regular and early reports. Reading the counters
// resets them, so each reading is added to both kinds.
type sampler struct {
	read func(interval time.Duration) []observe.Report
	last time.Time
	// sinceRegular covers the time since the last regular report, earlySamples the
	// time since beginEarly; it is nil while no early report is due.
	sinceRegular, earlySamples samples
}

func newSampler(read func(time.Duration) []observe.Report, now time.Time) *sampler {
	return &sampler{read: read, last: now, sinceRegular: make(samples)}
}

// takeRegular returns the measurements since its last call.
func (s *sampler) takeRegular(now time.Time) samples {
	s.collect(now)
	all := s.sinceRegular
	s.sinceRegular = make(samples, len(all))
	return all
}

// beginEarly starts the interval of the next early report.
func (s *sampler) beginEarly(now time.Time) {
	s.collect(now)
	s.earlySamples = make(samples)
}

// takeEarly returns the measurements since beginEarly.
func (s *sampler) takeEarly(now time.Time) samples {
	s.collect(now)
	recent := s.earlySamples
	s.earlySamples = nil
	return recent
}

func (s *sampler) collect(now time.Time) {
	interval := now.Sub(s.last)
	s.last = now
	for _, r := range s.read(interval) {
		s.sinceRegular.add(r)
		if s.earlySamples != nil {
			s.earlySamples.add(r)
		}
	}
}

// add merges a report into the earlier one of the same account.
func (s samples) add(r observe.Report) {
	old, ok := s[r.Account]
	if ok && old.Interval > 0 {
		r = observe.Join(old, r)
	}
	s[r.Account] = r
}
