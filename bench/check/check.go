package check

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// Defaults of the input.
const (
	DefaultRateWindow = time.Second
	DefaultLeaveBound = 5 * time.Second
)

// Input is what a check compares.
type Input struct {
	Told []Told
	Ran  []Ran
	// Accounts give the limits. With an account left out, its limits are not
	// checked.
	Accounts []*model.Account
	// EntryRegions gives the region of each entry VM by identifier. Work
	// through an entry VM that is not in it counts for no link.
	EntryRegions map[string]model.RegionName
	Leaving      []Leaving
	// LostLedgers names targets that ended with their ledger.
	LostLedgers map[string]bool
	// RateWindow is the window of the rate limits, 0 for DefaultRateWindow.
	RateWindow time.Duration
	// Bunching is how much closer together requests may arrive than they were
	// sent: the spread of the delay between entry VM and target. A window may
	// hold what the capacity gives in RateWindow plus Bunching.
	Bunching time.Duration
	// LeaveBound is how long after leaving a target may still get new work, 0
	// for DefaultLeaveBound.
	LeaveBound time.Duration
}

// Check compares and reports. All requests must have ended before: a request
// still on its way could run later.
func Check(in Input) *Report {
	if in.RateWindow == 0 {
		in.RateWindow = DefaultRateWindow
	}
	if in.LeaveBound == 0 {
		in.LeaveBound = DefaultLeaveBound
	}
	r := newReport(&in)
	requests := group(&in)
	checkRuns(&in, requests, r)
	checkAnswers(&in, r)
	checkRates(&in, requests, r)
	checkMoves(&in, requests, r)
	checkLeaving(&in, r)
	return r
}

// request is everything known of one token.
type request struct {
	told []*Told
	ran  []*Ran
}

func (q *request) runs() int {
	n := 0
	for _, line := range q.ran {
		n += line.times()
	}
	return n
}

// first returns the earliest run, or nil.
func (q *request) first() *Ran {
	var first *Ran
	for _, line := range q.ran {
		if first == nil || line.At.Before(first.At) {
			first = line
		}
	}
	return first
}

func group(in *Input) map[string]*request {
	requests := make(map[string]*request, len(in.Told))
	of := func(token string) *request {
		q := requests[token]
		if q == nil {
			q = &request{}
			requests[token] = q
		}
		return q
	}
	for i := range in.Told {
		q := of(in.Told[i].Token)
		q.told = append(q.told, &in.Told[i])
	}
	for i := range in.Ran {
		q := of(in.Ran[i].Token)
		q.ran = append(q.ran, &in.Ran[i])
	}
	return requests
}
