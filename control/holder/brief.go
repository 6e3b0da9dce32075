package holder

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/observe"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/control/internal/placenames"
)

// wholeEvery is how often a report names all places though none has
// changed; a measurement that is repeated by silence must not grow old, and
// names on which node and decider no longer agree must be told again.
const wholeEvery = 30 * time.Second

// brief leaves out of reports what the decider has already. Places are the
// largest part of a report, and mostly change by chance only.
type brief struct {
	// epoch is that of the decider that answered the last report with names, 0
	// for none, at is when that report was made, and names the hash of its names.
	epoch uint64
	at    time.Time
	names uint32
	told  observe.Report
}

// shorten empties the places of a request when they are as told, and leaves out
// their names when only these are.
func (b *brief) shorten(request *peerpb.RenewRequest, report observe.Report, now time.Time) {
	if b.epoch == 0 || b.epoch != request.AppliedEpoch || now.Sub(b.at) >= wholeEvery {
		return
	}
	if samePlaces(b.told, report) {
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
	b.told = report
	if request.PlaceNames != 0 {
		return
	}
	b.epoch = epoch
	b.at = now
	b.names = placenames.Hash(report.Places)
}
