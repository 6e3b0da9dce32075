package decider

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/observe"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/control/internal/names"
	"github.com/yuccaroute/yuccaroute/control/ledger"
)

// leastInterval is the shortest time between two reports of a node.
const leastInterval = time.Second

// Renew takes in a report received at now and answers it. The caller must have
// found the lease held after it received the report.
func (c *Core) Renew(request *peerpb.RenewRequest, now time.Time) *peerpb.RenewResponse {
	if response, _ := c.RecordReport(request, now); response != nil {
		return response
	}
	return c.Respond(request, now)
}

// RecordReport takes in a report received at now. A response that is not nil is the
// answer. With nil the caller answers by Answer, after the next step if hold is
// set: the node is short, and an answer now would tell it nothing. The caller must
// have found the lease held after it received the report.
func (c *Core) RecordReport(request *peerpb.RenewRequest, now time.Time) (response *peerpb.RenewResponse, hold bool) {
	if c.lost || request.AppliedEpoch > c.Epoch() {
		// The node has heard a newer decider: this one was replaced without
		// noticing.
		c.lost = true
		return &peerpb.RenewResponse{Code: uint32(result.NotLeader)}, false
	}
	node, code := c.nodeOf(request)
	if code != result.OK {
		return &peerpb.RenewResponse{Code: uint32(code)}, false
	}
	c.ledger.Hear(node, now)
	c.ledger.Acknowledge(node.ID, request.AppliedEpoch, request.AppliedSequence)
	if request.Stopped {
		c.ledger.Release(node.ID)
		return &peerpb.RenewResponse{Epoch: c.Epoch()}, false
	}
	c.ledger.SetLeaving(node.ID, request.Leaving)
	complete := c.report(reportOf(request, node), request, now)
	r := c.reports[node.ID]
	r.incomplete = !complete
	if request.NodeKey == 0 {
		c.remember(request.Node, node, r)
	}
	return nil, request.Short
}

// Respond answers a report that Take has taken in, at now. The caller must have
// found the lease held after it received the report: the surplus counts from
// when the node sent it, and so ends within one time to live of the lease
// however long the answer was held.
func (c *Core) Respond(request *peerpb.RenewRequest, now time.Time) *peerpb.RenewResponse {
	if c.lost {
		return &peerpb.RenewResponse{Code: uint32(result.NotLeader)}
	}
	node, code := c.nodeOf(request)
	if code != result.OK {
		return &peerpb.RenewResponse{Code: uint32(code)}
	}
	return c.answer(request, node, now)
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
	r := c.reports[node.ID]
	response.ReportNames = r != nil && r.incomplete
	if request.AppliedEpoch == issued.Epoch && request.AppliedSequence >= issued.First {
		response.Unchanged = true
		return response
	}
	// With a set that it does not have yet the node does not rest.
	if r != nil {
		r.rest = 0
	}
	if r != nil && c.hasKeys(request, r) {
		c.fillAmounts(response, issued.Amounts)
		return response
	}
	c.fillGrants(response, issued.Amounts)
	if r != nil {
		r.keys, r.keysFrom = c.hashKeys(), issued.Sequence
	}
	return response
}

// hasKeys reports whether a node has the names of all keys: it has acknowledged a
// set since it was told them in this term. One that names itself by words may be
// of a version that does not know grants without names.
func (c *Core) hasKeys(request *peerpb.RenewRequest, r *reported) bool {
	return request.NodeKey != 0 && !request.GrantNames && request.AppliedEpoch == c.Epoch() &&
		r.keysFrom != 0 && request.AppliedSequence >= r.keysFrom && r.keys == c.hashKeys()
}

// hashKeys returns the hash of the names of all keys. Keys are only ever added.
func (c *Core) hashKeys() uint64 {
	keys := c.ledger.Keys()
	if c.keysHashed == len(keys) && c.keysHash != 0 {
		return c.keysHash
	}
	hash := names.NewHasher()
	for _, key := range keys {
		hash.Add(string(key.Service))
		hash.Add(string(key.Place))
	}
	c.keysHash, c.keysHashed = hash.Sum(), len(keys)
	return c.keysHash
}

func (c *Core) fillAmounts(response *peerpb.RenewResponse, amounts []ledger.Amounts) {
	response.GrantKeys = c.hashKeys()
	response.Floors = make([]uint64, len(amounts))
	response.Surpluses = make([]uint64, len(amounts))
	for k, a := range amounts {
		response.Floors[k], response.Surpluses[k] = uint64(a.Floor), uint64(a.Surplus)
	}
}

func (c *Core) fillGrants(response *peerpb.RenewResponse, amounts []ledger.Amounts) {
	keys := c.ledger.Keys()
	for k, a := range amounts {
		response.Grants = append(response.Grants, &peerpb.Grant{
			Service: string(keys[k].Service),
			Place:   string(keys[k].Place),
			Floor:   uint64(a.Floor),
			Surplus: uint64(a.Surplus),
		})
	}
}

func (c *Core) interval() time.Duration {
	perSecond := max(c.options.ReportsPerSecond, 1)
	return max(leastInterval, time.Duration(len(c.reports))*time.Second/time.Duration(perSecond))
}

// nodeOf returns the node that a request is of, by its words or by the hash of
// those it was told before in this term.
//
// Guard against a request that is taken for another node's: the acknowledgement of
// the one would free what the other has in force. The hash covers all that names
// the life of a node; where two are the same neither is taken.
func (c *Core) nodeOf(request *peerpb.RenewRequest) (ledger.Node, result.Code) {
	if request.NodeKey != 0 {
		node := c.nodes[request.NodeKey]
		if node.ID.VM == "" || request.AppliedEpoch != c.Epoch() {
			return ledger.Node{}, result.UnknownNode
		}
		return node, result.OK
	}
	node := nodeOf(request.Node)
	if node.ID.VM == "" {
		return ledger.Node{}, result.BadRequest
	}
	return node, result.OK
}

// remember notes the hash of a node that named itself.
func (c *Core) remember(ref *peerpb.NodeRef, node ledger.Node, r *reported) {
	r.key = names.Node(ref)
	if other, ok := c.nodes[r.key]; ok && other != node {
		node = ledger.Node{}
	}
	c.nodes[r.key] = node
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
