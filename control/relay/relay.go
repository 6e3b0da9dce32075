// Package relay forwards the reports of a failure domain's nodes to the decider of
// an account in batches. A relay is a node that collects reports for a short time,
// sends them in one call and returns each answer to its node. It stores and decides
// nothing else: to the grant protocol it is a network hop that may delay or lose
// messages.
//
// Relay is the relay side, Selector the choice of a relay on the reporting node, and
// AnswerBatch the decider side. EncodeBatch and DecodeAnswers convert the batch
// format.
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
	// Decider returns the last known decider of an account and its epoch.
	Decider func(model.AccountName) (ref *peerpb.NodeRef, epoch uint64, ok bool)
	// Dial returns a connection to another node, which is reused across calls.
	Dial func(address string) (grpc.ClientConnInterface, error)
	// FleetSize returns the number of live entry VMs.
	FleetSize func() int
	// Stopping reports whether this node is in a planned stop.
	Stopping func() bool
	// Clock is a monotonic clock that keeps running while the VM is suspended.
	Clock func() time.Time
}

// Relay batches reports. It is safe for concurrent use.
type Relay struct {
	options Options
	counts  counts

	mu       sync.Mutex
	batchers map[model.AccountName]*batcher
}

// counts holds the counters of a relay.
type counts struct{ passed, batches, failed atomic.Uint64 }

// Status is the state of a relay that is shown to operators.
type Status struct {
	// Passed counts reports forwarded to a decider, Batches the calls used for them,
	// Failed the reports without an answer.
	Passed, Batches, Failed uint64
}

// New returns a relay without pending reports.
func New(options Options) *Relay {
	return &Relay{options: options, batchers: make(map[model.AccountName]*batcher)}
}

// Status returns the counters since the process started.
func (r *Relay) Status() Status {
	return Status{
		Passed:  r.counts.passed.Load(),
		Batches: r.counts.batches.Load(),
		Failed:  r.counts.failed.Load(),
	}
}

// errNoAnswer tells a node to send its report another way.
var errNoAnswer = status.Error(codes.Unavailable, "relay: the report was not answered")

// Pass forwards a report and returns the decider's answer, or errNoAnswer. A relay
// that knows an older decider than the reporting node refuses the report, so that
// the node sends it directly.
func (r *Relay) Pass(ctx context.Context, request *peerpb.PassRequest) (*peerpb.RenewResponse, error) {
	if unidentified := request.Report.GetNode() == nil && request.Report.GetNodeKey() == 0; unidentified || request.Report.Stopped {
		return &peerpb.RenewResponse{Code: uint32(result.BadRequest)}, nil
	}
	account := model.AccountName(request.Report.Account)
	_, epoch, ok := r.options.Decider(account)
	if !ok || epoch < request.DeciderEpoch || r.options.Stopping() {
		return &peerpb.RenewResponse{Code: uint32(result.NotLeader)}, nil
	}
	p := &pendingReport{ctx: ctx, report: request.Report, receivedAt: r.options.Clock(), answer: make(chan *peerpb.RenewResponse, 1)}
	if !r.batcherFor(account).add(p, request.Urgent) {
		return nil, errNoAnswer
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case answer := <-p.answer:
		if answer == nil {
			return nil, errNoAnswer
		}
		return answer, nil
	}
}

func (r *Relay) batcherFor(account model.AccountName) *batcher {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.batchers[account]
	if b == nil {
		b = &batcher{relay: r, account: account}
		r.batchers[account] = b
	}
	return b
}
