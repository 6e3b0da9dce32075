package holder

import (
	"slices"
	"time"

	"github.com/yuccaroute/yuccaroute/api/observe"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/control/internal/names"
)

// fullReportInterval is the longest time between two reports with all measurements.
// It bounds how long a decider can plan with outdated values after reports were
// reordered or a measurement was off by noise.
const fullReportInterval = 30 * time.Second

// requestCompactor omits from reports the names and measurements that the decider
// already has. Places make up most of a report and mostly differ only by noise.
type requestCompactor struct {
	// epoch is that of the decider that answered the last request with the node's
	// full identity, 0 for none. nodeHash is the hash of that identity; flowNames
	// and placeNames are the hashes of the names last sent.
	epoch                 uint64
	nodeHash              uint64
	flowNames, placeNames uint32
	// placesSentAt is when the places were last sent; lastReport holds these places
	// and the flows of the last report.
	placesSentAt time.Time
	lastReport   observe.Report
}

// compact removes what the decider of the acknowledged epoch already has. The final
// request of a stopping node is not retried, so it is always sent in full.
func (c *requestCompactor) compact(request *peerpb.RenewRequest, report observe.Report, now time.Time) {
	if c.epoch == 0 || c.epoch != request.AppliedEpoch || request.Stopped {
		return
	}
	request.NodeKey, request.Node = c.nodeHash, nil
	recent := now.Sub(c.placesSentAt) < fullReportInterval
	c.compactFlows(request, report, recent)
	c.compactPlaces(request, report, recent)
}

func (c *requestCompactor) compactFlows(request *peerpb.RenewRequest, report observe.Report, recent bool) {
	switch {
	case recent && slices.Equal(c.lastReport.Flows, report.Flows):
		request.Flows = nil
		request.FlowsSame = true
	case names.HashFlows(report.Flows) == c.flowNames:
		request.FlowNames = c.flowNames
		for _, f := range request.Flows {
			f.Service, f.Caller = "", ""
		}
	}
}

func (c *requestCompactor) compactPlaces(request *peerpb.RenewRequest, report observe.Report, recent bool) {
	switch {
	case recent && samePlaces(c.lastReport, report):
		request.Places = nil
		request.PlacesSame = true
	case names.HashPlaces(report.Places) == c.placeNames:
		request.PlaceNames = c.placeNames
		for _, p := range request.Places {
			p.Service, p.Place = "", ""
		}
	}
}

// recordAnswer records that a decider accepted a request sent at now.
func (c *requestCompactor) recordAnswer(request *peerpb.RenewRequest, report observe.Report, response *peerpb.RenewResponse, now time.Time) {
	if response.ReportNames {
		*c = requestCompactor{}
		return
	}
	if request.NodeKey == 0 {
		c.epoch = response.Epoch
		c.nodeHash = names.HashNode(request.Node)
	}
	c.lastReport.Flows = report.Flows
	if !request.FlowsSame && request.FlowNames == 0 {
		c.flowNames = names.HashFlows(report.Flows)
	}
	if request.PlacesSame {
		return
	}
	c.lastReport.Places, c.lastReport.Interval = report.Places, report.Interval
	c.placesSentAt = now
	if request.PlaceNames == 0 {
		c.placeNames = names.HashPlaces(report.Places)
	}
}
