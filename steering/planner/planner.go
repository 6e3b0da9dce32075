// Package planner lets the decider of an account plan by Decide.
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
	// settling is how long a new decider waits for the reports of all nodes
	// before it takes their sum for the demand.
	settling = 5 * time.Second
	// forgetting is how long the measurements of an account are kept that
	// nobody reads.
	forgetting = 5 * time.Minute
)

// Planner implements decider.Planner for any number of accounts. It is safe
// for use by several goroutines.
type Planner struct {
	mu       sync.Mutex
	accounts map[model.AccountName]*account
}

// account is what is kept of one account, and when it was last read.
type account struct {
	mu         sync.Mutex
	aggregator *aggregate.Aggregator
	positions  *positions
	read       time.Time
	// last is what the last plan was made from.
	last steering.Input
}

var _ decider.Planner = (*Planner)(nil)

// New returns a planner that has seen no account yet.
func New() *Planner {
	return &Planner{accounts: make(map[model.AccountName]*account)}
}

// Plan implements decider.Planner. The Explanation is a steering.Decision.
func (p *Planner) Plan(s decider.PlannerInput) decider.PlannerOutput {
	in := p.input(&s)
	d := steering.Decide(in)
	return decider.PlannerOutput{
		Flows:       d.Plan.Flows,
		Moves:       ledgerMoves(d.Moves),
		Explanation: d,
	}
}

func (p *Planner) input(s *decider.PlannerInput) steering.Input {
	in := steering.Input{
		Account:  s.Account,
		Now:      s.Now,
		Previous: s.Previous,
		Moved:    steeringMoves(s.Moves, s.Now),
	}
	reports := make([]aggregate.Report, 0, len(s.Reports))
	for _, r := range s.Reports {
		reports = append(reports, aggregate.Report{Report: r.Report, Age: r.Age})
	}
	a := p.account(s.Account.Name, s.Now)
	a.mu.Lock()
	defer a.mu.Unlock()
	in.Demand, in.Places = a.aggregator.Read(s.Account, reports, in.Moved, s.Now)
	in.Behind = a.positions.read(s)
	if s.Now.Sub(s.TermStart) < settling {
		// The first reports after a change of decider are a part of the
		// demand only. Taken for all of it, they would make full places look
		// empty; unknown demand moves nothing.
		in.Demand = nil
	}
	a.last = in
	if len(in.Demand) == 0 {
		// A forecast from it would say that every capacity holds.
		a.last = steering.Input{}
	}
	return in
}

// Last returns what the last plan of an account was made from, for forecasts;
// ok is false when this node has made none lately, or knew no demand for it.
func (p *Planner) Last(name model.AccountName) (in steering.Input, ok bool) {
	p.mu.Lock()
	a := p.accounts[name]
	p.mu.Unlock()
	if a == nil {
		return steering.Input{}, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.last, a.last.Account != nil
}

// account returns what is kept of an account. What was not read for long is of
// an earlier term and begun anew.
func (p *Planner) account(name model.AccountName, now time.Time) *account {
	p.mu.Lock()
	defer p.mu.Unlock()
	for other, a := range p.accounts {
		if now.Sub(a.read) > forgetting {
			delete(p.accounts, other)
		}
	}
	a := p.accounts[name]
	if a == nil {
		a = &account{aggregator: aggregate.New(), positions: newPositions()}
		p.accounts[name] = a
	}
	a.read = now
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
