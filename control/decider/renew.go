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

// minReportInterval is the shortest time between two reports of a node.
const minReportInterval = time.Second

// Renew records a report received at now and answers it. The caller must have
// checked after receiving the report that the lease is held.
func (c *Core) Renew(request *peerpb.RenewRequest, now time.Time) *peerpb.RenewResponse {
	if response, _ := c.RecordReport(request, now); response != nil {
		return response
	}
	return c.Respond(request, now)
}

// RecordReport records a report received at now. If response is not nil, it is the
// answer. Otherwise the caller answers with Respond: after the next step if hold is
// set, because the node is short of capacity and an immediate answer would give it
// none. The caller must have checked after receiving the report that the lease is
// held.
func (c *Core) RecordReport(request *peerpb.RenewRequest, now time.Time) (response *peerpb.RenewResponse, hold bool) {
	if c.superseded || request.AppliedEpoch > c.Epoch() {
		// The node has applied a set of a newer decider, which has replaced this
		// one.
		c.superseded = true
		return &peerpb.RenewResponse{Code: uint32(result.NotLeader)}, false
	}
	node, code := c.requestNode(request)
	if code != result.OK {
		return &peerpb.RenewResponse{Code: uint32(code)}, false
	}
	c.ledger.RecordContact(node, now)
	c.ledger.Acknowledge(node.ID, request.AppliedEpoch, request.AppliedSequence)
	if request.Stopped {
		c.ledger.Release(node.ID)
		return &peerpb.RenewResponse{Epoch: c.Epoch()}, false
	}
	c.ledger.SetLeaving(node.ID, request.Leaving)
	complete := c.storeReport(reportOf(request, node), request, now)
	r := c.reports[node.ID]
	r.incomplete = !complete
	if request.NodeKey == 0 {
		c.rememberNode(request.Node, node, r)
	}
	return nil, request.Short
}

// Respond answers a report that RecordReport has recorded. The caller must have
// checked after receiving the report that the lease is held: the surplus counts from
// when the node sent it, so it expires within one surplus time to live of the lease
// however long the answer was held.
func (c *Core) Respond(request *peerpb.RenewRequest, now time.Time) *peerpb.RenewResponse {
	if c.superseded {
		return &peerpb.RenewResponse{Code: uint32(result.NotLeader)}
	}
	node, code := c.requestNode(request)
	if code != result.OK {
		return &peerpb.RenewResponse{Code: uint32(code)}
	}
	return c.respond(request, node, now)
}

func (c *Core) respond(request *peerpb.RenewRequest, node ledger.Node, now time.Time) *peerpb.RenewResponse {
	issued, ok := c.ledger.Issue(node.ID, now)
	if !ok {
		return &peerpb.RenewResponse{Code: uint32(result.NotLeader)}
	}
	response := &peerpb.RenewResponse{
		Epoch:        issued.Epoch,
		Sequence:     issued.Sequence,
		SurplusTtlMs: uint32(issued.TTL.Milliseconds()),
		NextMs:       uint32(c.reportInterval().Milliseconds()),
	}
	r := c.reports[node.ID]
	response.ReportNames = r != nil && r.incomplete
	if request.AppliedEpoch == issued.Epoch && request.AppliedSequence >= issued.FirstSequence {
		response.Unchanged = true
		return response
	}
	// A node with a new set to acknowledge does not stay at the steady interval.
	if r != nil {
		r.steadyFor = 0
	}
	if r != nil && c.knowsKeys(request, r) {
		c.fillAmounts(response, issued.Amounts)
		return response
	}
	c.fillGrants(response, issued.Amounts)
	if r != nil {
		r.keysHash, r.keysSequence = c.hashKeys(), issued.Sequence
	}
	return response
}

// knowsKeys reports whether a node knows the names of all keys: it has acknowledged
// a set since they were sent in this term. A node that sends its full identity may
// run a version that does not support grants without names.
func (c *Core) knowsKeys(request *peerpb.RenewRequest, r *nodeState) bool {
	return request.NodeKey != 0 && !request.GrantNames && request.AppliedEpoch == c.Epoch() &&
		r.keysSequence != 0 && request.AppliedSequence >= r.keysSequence && r.keysHash == c.hashKeys()
}

// hashKeys returns the hash of the names of all keys. Keys are only ever appended,
// so their number identifies the cached hash.
func (c *Core) hashKeys() uint64 {
	keys := c.ledger.Keys()
	if c.hashedKeys == len(keys) && c.keysHash != 0 {
		return c.keysHash
	}
	hash := names.NewHasher()
	for _, key := range keys {
		hash.Add(string(key.Service))
		hash.Add(string(key.Place))
	}
	c.keysHash, c.hashedKeys = hash.Sum(), len(keys)
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

func (c *Core) reportInterval() time.Duration {
	perSecond := max(c.options.ReportsPerSecond, 1)
	return max(minReportInterval, time.Duration(len(c.reports))*time.Second/time.Duration(perSecond))
}

// requestNode returns the node that sent a request, identified by its full identity
// or by the hash of one sent earlier in this term. A request attributed to the wrong
// node would free grants still in use, so colliding hashes are rejected.
func (c *Core) requestNode(request *peerpb.RenewRequest) (ledger.Node, result.Code) {
	if request.NodeKey != 0 {
		node := c.nodesByHash[request.NodeKey]
		if node.ID.VM == "" || request.AppliedEpoch != c.Epoch() {
			return ledger.Node{}, result.UnknownNode
		}
		return node, result.OK
	}
	node := nodeFromRef(request.Node)
	if node.ID.VM == "" {
		return ledger.Node{}, result.BadRequest
	}
	return node, result.OK
}

// rememberNode stores the hash of a node's identity.
func (c *Core) rememberNode(ref *peerpb.NodeRef, node ledger.Node, r *nodeState) {
	r.nodeHash = names.HashNode(ref)
	if other, ok := c.nodesByHash[r.nodeHash]; ok && other != node {
		node = ledger.Node{}
	}
	c.nodesByHash[r.nodeHash] = node
}

func nodeFromRef(ref *peerpb.NodeRef) ledger.Node {
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
