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

// lendersAsked is how many nodes are asked for a loan at a time.
const lendersAsked = 3

// borrow asks other nodes for a part of their floors when this one has
// nothing and no decider answers. A loan in use is renewed by repeating its
// transfer.
func (r *Runner) borrow(ctx context.Context, report observe.Report) {
	if !r.mayBorrow() {
		return
	}
	lenders := r.options.Lenders()
	for _, lender := range lenders[:min(len(lenders), lendersAsked)] {
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
		Wanted:   wanted(report),
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

// leastLoanRPS is asked for where the node has seen no demand, requests/s.
const leastLoanRPS = 1

// wanted asks for each place what the node tried to send there.
func wanted(report observe.Report) []*peerpb.Grant {
	grants := make([]*peerpb.Grant, 0, len(report.Places))
	for _, p := range report.Places {
		rps := max(p.SentRPS+p.RefusedRPS, leastLoanRPS)
		grants = append(grants, &peerpb.Grant{
			Service: string(p.Service),
			Place:   string(p.Place),
			Floor:   uint64(ledger.AmountOf(rps)),
		})
	}
	return grants
}

// Lend answers another node. The own floor is lowered in the admission before
// the answer leaves.
func (r *Runner) Lend(request *peerpb.LendRequest) *peerpb.LendResponse {
	r.mu.Lock()
	defer r.mu.Unlock()
	response, changed := r.core.Lend(request, r.options.Clock())
	if changed {
		r.options.Apply(r.core.Set())
	}
	return response
}
