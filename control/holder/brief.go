package holder

import (
	"slices"
	"time"

	"github.com/yuccaroute/yuccaroute/api/observe"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/control/internal/names"
)

// wholeEvery is how often a report tells all measurements though none has changed
// but by chance.
//
// Guard against a decider that goes by other measurements than the node believes:
// by those that were told by chance, or by a report that was given up and has
// overtaken a later one. It shows as a plan made for demand that is not there, and
// lasts for this time at most.
const wholeEvery = 30 * time.Second

// brief leaves out of reports what the decider has already: words, and measurements
// that are the same. Places are the largest part of a report, and mostly change by
// chance only.
type brief struct {
	// epoch is that of the decider that answered the last report with words, 0 for
	// none. node is the hash of the node in it, flows and places those of their
	// names in the last report with these names.
	epoch         uint64
	node          uint64
	flows, places uint32
	// at is when the places were told last, told is that report with the flows of
	// the last one.
	at   time.Time
	told observe.Report
}

// shorten leaves out of a request what the decider of the epoch that it
// acknowledges has. The last request of a node that stops is not repeated, and must
// not depend on that.
func (b *brief) shorten(request *peerpb.RenewRequest, report observe.Report, now time.Time) {
	if b.epoch == 0 || b.epoch != request.AppliedEpoch || request.Stopped {
		return
	}
	request.NodeKey, request.Node = b.node, nil
	recent := now.Sub(b.at) < wholeEvery
	b.shortenFlows(request, report, recent)
	b.shortenPlaces(request, report, recent)
}

func (b *brief) shortenFlows(request *peerpb.RenewRequest, report observe.Report, recent bool) {
	switch {
	case recent && slices.Equal(b.told.Flows, report.Flows):
		request.Flows = nil
		request.FlowsSame = true
	case names.HashFlows(report.Flows) == b.flows:
		request.FlowNames = b.flows
		for _, f := range request.Flows {
			f.Service, f.Caller = "", ""
		}
	}
}

func (b *brief) shortenPlaces(request *peerpb.RenewRequest, report observe.Report, recent bool) {
	switch {
	case recent && samePlaces(b.told, report):
		request.Places = nil
		request.PlacesSame = true
	case names.HashPlaces(report.Places) == b.places:
		request.PlaceNames = b.places
		for _, p := range request.Places {
			p.Service, p.Place = "", ""
		}
	}
}

// answered notes that a decider has taken a request, made at now.
func (b *brief) answered(request *peerpb.RenewRequest, report observe.Report, response *peerpb.RenewResponse, now time.Time) {
	if response.ReportNames {
		*b = brief{}
		return
	}
	if request.NodeKey == 0 {
		b.epoch = response.Epoch
		b.node = names.HashNode(request.Node)
	}
	b.told.Flows = report.Flows
	if !request.FlowsSame && request.FlowNames == 0 {
		b.flows = names.HashFlows(report.Flows)
	}
	if request.PlacesSame {
		return
	}
	b.told.Places, b.told.Interval = report.Places, report.Interval
	b.at = now
	if request.PlaceNames == 0 {
		b.places = names.HashPlaces(report.Places)
	}
}
