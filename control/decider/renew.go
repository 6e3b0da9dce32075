package decider

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/observe"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/control/ledger"
)

// leastInterval is the shortest time between two reports of a node.
const leastInterval = time.Second

// Renew takes in a report received at now and answers it. The caller must have
// found the lease held after it received the report.
func (c *Core) Renew(request *peerpb.RenewRequest, now time.Time) *peerpb.RenewResponse {
	if response, _ := c.Take(request, now); response != nil {
		return response
	}
	return c.Answer(request, now)
}

// Take takes in a report received at now. A response that is not nil is the
// answer. With nil the caller answers by Answer, after the next step if hold is
// set: the node is short, and an answer now would tell it nothing. The caller must have found the lease held after it received the report.
func (c *Core) Take(request *peerpb.RenewRequest, now time.Time) (response *peerpb.RenewResponse, hold bool) {
	if c.lost || request.AppliedEpoch > c.Epoch() {
		// The node has heard a newer decider: this one was replaced without
		// noticing.
		c.lost = true
		return &peerpb.RenewResponse{Code: uint32(result.NotLeader)}, false
	}
	node := nodeOf(request.Node)
	if node.ID.VM == "" {
		return &peerpb.RenewResponse{Code: uint32(result.BadRequest)}, false
	}
	c.ledger.Hear(node, now)
	c.ledger.Acknowledge(node.ID, request.AppliedEpoch, request.AppliedSequence)
	if request.Stopped {
		c.ledger.Release(node.ID)
		return &peerpb.RenewResponse{Epoch: c.Epoch()}, false
	}
	c.ledger.SetLeaving(node.ID, request.Leaving)
	c.report(reportOf(request, node), request, now)
	return nil, request.Short
}

// Answer answers a report that Take has taken in, at now. The caller must have
// found the lease held after it received the report: the surplus counts from
// when the node sent it, and so ends within one time to live of the lease
// however long the answer was held.
func (c *Core) Answer(request *peerpb.RenewRequest, now time.Time) *peerpb.RenewResponse {
	if c.lost {
		return &peerpb.RenewResponse{Code: uint32(result.NotLeader)}
	}
	return c.answer(request, nodeOf(request.Node), now)
}

func (c *Core) answer(request *peerpb.RenewRequest, node ledger.Node, now time.Time) *peerpb.RenewResponse {
	issued, ok := c.ledger.Issue(node.ID, now)
	if !ok {
		return &peerpb.RenewResponse{Code: uint32(result.NotLeader)}
	}
	response := &peerpb.RenewResponse{
		Epoch:        issued.Epoch,
		Sequence:     issued.Sequence,
		SurplusTtlMs: uint32(issued.TTL.Milliseconds()),
		NextMs:       uint32(c.interval().Milliseconds()),
	}
	if request.AppliedEpoch == issued.Epoch && request.AppliedSequence >= issued.First {
		response.Unchanged = true
		return response
	}
	// With a set that it does not have yet the node does not rest.
	if r := c.reports[node.ID]; r != nil {
		r.rest = 0
	}
	keys := c.ledger.Keys()
	for k, a := range issued.Amounts {
		if a == (ledger.Amounts{}) {
			continue
		}
		response.Grants = append(response.Grants, &peerpb.Grant{
			Service: string(keys[k].Service),
			Place:   string(keys[k].Place),
			Floor:   uint64(a.Floor),
			Surplus: uint64(a.Surplus),
		})
	}
	return response
}

func (c *Core) interval() time.Duration {
	perSecond := max(c.options.ReportsPerSecond, 1)
	return max(leastInterval, time.Duration(len(c.reports))*time.Second/time.Duration(perSecond))
}

func nodeOf(ref *peerpb.NodeRef) ledger.Node {
	return ledger.Node{
		ID:      nodeID(ref.GetVm(), ref.GetIncarnation()),
		Region:  model.RegionName(ref.GetRegion()),
		Address: ref.GetPeerAddress(),
	}
}

func reportOf(request *peerpb.RenewRequest, node ledger.Node) observe.Report {
	report := observe.Report{
		Node:     node.ID,
		Region:   node.Region,
		Account:  model.AccountName(request.Account),
		Interval: time.Duration(request.IntervalMs) * time.Millisecond,

		PlanEpoch:    request.PlanEpoch,
		PlanSequence: request.PlanSequence,
	}
	for _, f := range request.Flows {
		report.Flows = append(report.Flows, observe.FlowDemand{
			Service:    model.ServiceName(f.Service),
			Caller:     model.RegionName(f.Caller),
			OfferedRPS: float64(f.OfferedRps),
		})
	}
	for _, p := range request.Places {
		report.Places = append(report.Places, observe.PlaceLoad{
			Service:      model.ServiceName(p.Service),
			Place:        model.PlaceName(p.Place),
			SentRPS:      float64(p.SentRps),
			RefusedRPS:   float64(p.RefusedRps),
			P50:          time.Duration(p.P50Us) * time.Microsecond,
			P99:          time.Duration(p.P99Us) * time.Microsecond,
			FailureShare: float64(p.FailureShare),
			Targets:      int(p.Targets),
			Known:        int(p.Known),
		})
	}
	return report
}
