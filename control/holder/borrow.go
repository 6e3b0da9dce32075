package holder

import (
	"context"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/observe"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/control/ledger"
)

var errNoDecider = errors.New("holder: no decider known")

// maxLenders is how many nodes are asked for a loan in one attempt.
const maxLenders = 3

// borrow asks other nodes for part of their floors when this node has no grants and
// no decider answers. Repeating a transfer renews its loan.
func (r *Runner) borrow(ctx context.Context, report observe.Report) {
	if !r.mayBorrow() {
		return
	}
	lenders := r.options.Lenders()
	for _, lender := range lenders[:min(len(lenders), maxLenders)] {
		if ctx.Err() != nil {
			return
		}
		r.borrowFrom(ctx, lender, report)
	}
}

func (r *Runner) mayBorrow() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.core.MayBorrow(r.options.Clock()) {
		return false
	}
	for r.transfer == 0 {
		r.transfer = r.random.Uint64()
	}
	return true
}

func (r *Runner) borrowFrom(ctx context.Context, lender *peerpb.NodeRef, report observe.Report) {
	conn, err := r.options.Dial(lender.PeerAddress)
	if err != nil {
		return
	}
	r.mu.Lock()
	request := &peerpb.LendRequest{
		Node:     r.options.Ref,
		Account:  string(r.options.Account),
		Transfer: r.transfer,
		Wanted:   wantedGrants(report),
	}
	r.mu.Unlock()
	sentAt := r.options.Clock()
	response, err := peerpb.NewControlClient(conn).Lend(ctx, request)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	id := grant.NodeID{VM: lender.Vm, Incarnation: lender.Incarnation}
	if r.core.HandleLoan(id, sentAt, response, r.options.Clock()) {
		r.options.Apply(r.core.Set())
	}
}

// minLoanRPS is the rate requested where the node has seen no demand.
const minLoanRPS = 1

// wantedGrants requests, for each place, the rate that the node tried to send there.
func wantedGrants(report observe.Report) []*peerpb.Grant {
	grants := make([]*peerpb.Grant, 0, len(report.Places))
	for _, p := range report.Places {
		rps := max(p.SentRPS+p.RefusedRPS, minLoanRPS)
		grants = append(grants, &peerpb.Grant{
			Service: string(p.Service),
			Place:   string(p.Place),
			Floor:   uint64(ledger.AmountFromRPS(rps)),
		})
	}
	return grants
}

// Lend answers a loan request. The node's own floor is lowered before the response
// is sent.
func (r *Runner) Lend(request *peerpb.LendRequest) *peerpb.LendResponse {
	r.mu.Lock()
	defer r.mu.Unlock()
	response, changed := r.core.Lend(request, r.options.Clock())
	if changed {
		r.options.Apply(r.core.Set())
	}
	return response
}
