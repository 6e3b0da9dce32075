// Package planner implements the decider's planner: it collects the measurements
// of each account and calls steering.Decide.
package planner

import (
	"sync"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/control/decider"
	"github.com/yuccaroute/yuccaroute/control/ledger"
	"github.com/yuccaroute/yuccaroute/steering"
	"github.com/yuccaroute/yuccaroute/steering/aggregate"
)

const (
	// reportGracePeriod is how long a new decider waits for the reports of all
	// nodes before it uses their sum as the demand.
	reportGracePeriod = 5 * time.Second
	// accountRetention is how long the state of an account is kept after its
	// last plan.
	accountRetention = 5 * time.Minute
)

// Planner implements decider.Planner for any number of accounts. It is safe
// for use by several goroutines.
type Planner struct {
	mu       sync.Mutex
	accounts map[model.AccountName]*accountState
}

// accountState holds the measurements of one account.
type accountState struct {
	mu         sync.Mutex
	aggregator *aggregate.Aggregator
	lagTracker *lagTracker
	lastUsed   time.Time
	// lastInput is the input of the last plan, zero if its demand was unknown.
	lastInput steering.Input
}

var _ decider.Planner = (*Planner)(nil)

// New returns a planner without any account state.
func New() *Planner {
	return &Planner{accounts: make(map[model.AccountName]*accountState)}
}

// Plan implements decider.Planner. The Explanation of the output is a
// steering.Decision.
func (p *Planner) Plan(s decider.PlannerInput) decider.PlannerOutput {
	in := p.buildInput(&s)
	d := steering.Decide(in)
	return decider.PlannerOutput{
		Flows:       d.Plan.Flows,
		Moves:       ledgerMoves(d.Moves),
		Explanation: d,
	}
}

func (p *Planner) buildInput(s *decider.PlannerInput) steering.Input {
	in := steering.Input{
		Account:     s.Account,
		Now:         s.Now,
		Previous:    s.Previous,
		RecentMoves: steeringMoves(s.Moves, s.Now),
	}
	reports := make([]aggregate.Report, 0, len(s.Reports))
	for _, r := range s.Reports {
		reports = append(reports, aggregate.Report{Report: r.Report, Age: r.Age})
	}
	a := p.account(s.Account.Name, s.Now)
	a.mu.Lock()
	defer a.mu.Unlock()
	in.Demand, in.Places = a.aggregator.Update(s.Account, reports, in.RecentMoves, s.Now)
	in.Lagging = a.lagTracker.update(s)
	if s.Now.Sub(s.TermStart) < reportGracePeriod {
		// Not all nodes have reported to the new decider yet, and a partial sum
		// would make full places look empty. Unknown demand moves nothing.
		in.Demand = nil
	}
	a.lastInput = in
	if len(in.Demand) == 0 {
		// A forecast without demand would report that every capacity suffices.
		a.lastInput = steering.Input{}
	}
	return in
}

// LastInput returns the input of the last plan of an account, for forecasts. ok
// is false if this node has no recent plan or its demand was unknown.
func (p *Planner) LastInput(name model.AccountName) (in steering.Input, ok bool) {
	p.mu.Lock()
	a := p.accounts[name]
	p.mu.Unlock()
	if a == nil {
		return steering.Input{}, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastInput, a.lastInput.Account != nil
}

// account returns the state of an account and drops expired state, which belongs
// to an earlier term.
func (p *Planner) account(name model.AccountName, now time.Time) *accountState {
	p.mu.Lock()
	defer p.mu.Unlock()
	for other, a := range p.accounts {
		if now.Sub(a.lastUsed) > accountRetention {
			delete(p.accounts, other)
		}
	}
	a := p.accounts[name]
	if a == nil {
		a = &accountState{aggregator: aggregate.New(), lagTracker: newLagTracker()}
		p.accounts[name] = a
	}
	a.lastUsed = now
	return a
}

func steeringMoves(moves []ledger.Move, now time.Time) []steering.Move {
	result := make([]steering.Move, 0, len(moves))
	for _, m := range moves {
		result = append(result, steering.Move{
			Service: m.Service,
			Caller:  m.Caller,
			Place:   m.Place,
			Delta:   m.Delta,
			Cause:   steering.Kind(m.Cause),
			Age:     now.Sub(m.At),
		})
	}
	return result
}

func ledgerMoves(moves []steering.Move) []ledger.Move {
	result := make([]ledger.Move, 0, len(moves))
	for _, m := range moves {
		result = append(result, ledger.Move{
			Service: m.Service,
			Caller:  m.Caller,
			Place:   m.Place,
			Delta:   m.Delta,
			Cause:   uint8(m.Cause),
		})
	}
	return result
}
