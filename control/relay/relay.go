// Package relay carries the reports of a failure domain's nodes to the decider of
// an account in few calls. A relay is a node that gathers reports for a short time,
// sends them on in one batch and hands each answer to its node. It keeps nothing
// beyond that and decides nothing: to the protocol of grants it is a part of the
// network that delays messages and may lose them.
//
// Relay is the relay side, Selector the choice of a relay on the reporting node, and
// AnswerBatch the decider side. EncodeBatch and DecodeAnswers convert the batch format.
package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/api/result"
)

// Options configures a Relay.
type Options struct {
	// Decider returns the decider of an account that this node knows, and its
	// epoch.
	Decider func(model.AccountName) (ref *peerpb.NodeRef, epoch uint64, ok bool)
	// Dial returns a connection to another node; it keeps it for later calls.
	Dial func(address string) (grpc.ClientConnInterface, error)
	// FleetSize counts the live entry VMs.
	FleetSize func() int
	// Stopping reports whether this node is in a planned stop.
	Stopping func() bool
	// Clock is a monotonic clock that goes on while the VM is suspended.
	Clock func() time.Time
}

// Relay gathers reports. It is safe for use by several goroutines.
type Relay struct {
	options Options
	counts  counts

	mu         sync.Mutex
	gatherings map[model.AccountName]*gathering
}

// counts is what a relay has done.
type counts struct{ passed, batches, failed atomic.Uint64 }

// Status is what operators see of a relay.
type Status struct {
	// Passed counts reports that went on to a decider, Batches the calls in which
	// they did, Failed the reports that could not be answered.
	Passed, Batches, Failed uint64
}

// New returns a relay that holds nothing.
func New(options Options) *Relay {
	return &Relay{options: options, gatherings: make(map[model.AccountName]*gathering)}
}

// Status returns what the relay has done since the process began.
func (r *Relay) Status() Status {
	return Status{
		Passed:  r.counts.passed.Load(),
		Batches: r.counts.batches.Load(),
		Failed:  r.counts.failed.Load(),
	}
}

// errFailed tells a node to report by another way.
var errFailed = status.Error(codes.Unavailable, "relay: the report was not answered")

// Pass sends a report on and returns the decider's answer, or errFailed.
//
// Guard against a relay that has not heard of a new decider, because the items of
// its domain lag: its nodes would ask the old one until their surplus ends. It
// shows as not-leader answers for one domain only. The guard holds because a node
// that knows a newer decider is told at once and reports directly.
func (r *Relay) Pass(ctx context.Context, request *peerpb.PassRequest) (*peerpb.RenewResponse, error) {
	if unnamed := request.Report.GetNode() == nil && request.Report.GetNodeKey() == 0; unnamed || request.Report.Stopped {
		return &peerpb.RenewResponse{Code: uint32(result.BadRequest)}, nil
	}
	account := model.AccountName(request.Report.Account)
	_, epoch, ok := r.options.Decider(account)
	if !ok || epoch < request.DeciderEpoch || r.options.Stopping() {
		return &peerpb.RenewResponse{Code: uint32(result.NotLeader)}, nil
	}
	h := &held{ctx: ctx, report: request.Report, at: r.options.Clock(), answer: make(chan *peerpb.RenewResponse, 1)}
	if !r.gathering(account).add(h, request.Urgent) {
		return nil, errFailed
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case answer := <-h.answer:
		if answer == nil {
			return nil, errFailed
		}
		return answer, nil
	}
}

func (r *Relay) gathering(account model.AccountName) *gathering {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.gatherings[account]
	if g == nil {
		g = &gathering{relay: r, account: account}
		r.gatherings[account] = g
	}
	return g
}
