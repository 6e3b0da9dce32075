package holder

import (
	"math"
	"time"

	"github.com/yuccaroute/yuccaroute/api/observe"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/control/internal/placenames"
)

const (
	// wholeEvery is how often a report names all places though none has
	// changed; a measurement that is repeated by silence must not grow old, and
	// names on which node and decider no longer agree must be told again.
	wholeEvery = 30 * time.Second
	// sameLatency and sameFailures are how far a latency, as a part of itself,
	// and a failure share may be from what was reported.
	sameLatency  = 0.2
	sameFailures = 0.01
	// sameDeviations is how many standard deviations of a count a rate may be
	// from what was reported.
	sameDeviations = 4
)

// brief leaves out of reports what the decider has already. Places are the
// largest part of a report, and mostly change by chance only.
type brief struct {
	// epoch is that of the decider that answered the last report with names, 0
	// for none, at is when that report was made, and names the hash of its names.
	epoch uint64
	at    time.Time
	names uint32
	told  []observe.PlaceLoad
}

// shorten empties the places of a request when they are as told, and leaves out
// their names when only these are.
func (b *brief) shorten(request *peerpb.RenewRequest, report observe.Report, now time.Time) {
	if b.epoch == 0 || b.epoch != request.AppliedEpoch || now.Sub(b.at) >= wholeEvery {
		return
	}
	if samePlaces(b.told, report.Places) {
		request.Places = nil
		request.PlacesSame = true
		return
	}
	if placenames.Hash(report.Places) == b.names {
		b.leaveNames(request)
	}
}

func (b *brief) leaveNames(request *peerpb.RenewRequest) {
	request.PlaceNames = b.names
	for _, p := range request.Places {
		p.Service, p.Place = "", ""
	}
}

// answered notes that a decider has taken a request.
func (b *brief) answered(request *peerpb.RenewRequest, report observe.Report, epoch uint64, now time.Time) {
	if request.PlacesSame {
		return
	}
	b.told = report.Places
	if request.PlaceNames != 0 {
		return
	}
	b.epoch = epoch
	b.at = now
	b.names = placenames.Hash(report.Places)
}

func samePlaces(a, b []observe.PlaceLoad) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if !samePlace(&a[i], &b[i]) {
			return false
		}
	}
	return true
}

func samePlace(a, b *observe.PlaceLoad) bool {
	return a.Service == b.Service && a.Place == b.Place &&
		a.Targets == b.Targets && a.Known == b.Known &&
		sameRate(a.SentRPS, b.SentRPS) && sameRate(a.RefusedRPS, b.RefusedRPS) &&
		sameDuration(a.P50, b.P50) && sameDuration(a.P99, b.P99) &&
		math.Abs(a.FailureShare-b.FailureShare) <= sameFailures
}

// sameRate reports whether two rates differ by chance only. Zero is the same
// only as zero: the first refusal or request is news.
func sameRate(a, b float64) bool {
	if a == 0 || b == 0 {
		return a == b
	}
	return math.Abs(a-b) <= sameDeviations*math.Sqrt(max(a, 1))
}

func sameDuration(a, b time.Duration) bool {
	return math.Abs(float64(a-b)) <= sameLatency*float64(a)
}
