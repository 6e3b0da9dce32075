// Package planner lets the decider of an account plan by Decide.
package planner

import (
	"sync"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/control/decider"
	"github.com/yuccaroute/yuccaroute/control/ledger"
	"github.com/yuccaroute/yuccaroute/steering"
	"github.com/yuccaroute/yuccaroute/steering/picture"
)

const (
	// settling is how long a new decider waits for the reports of all nodes
	// before it takes their sum for the demand.
	settling = 5 * time.Second
	// forgetting is how long a picture is kept that nobody reads.
	forgetting = 5 * time.Minute
)

// Planner implements decider.Planner for any number of accounts. It is safe
// for use by several goroutines.
type Planner struct {
	mu    sync.Mutex
	books map[model.AccountName]*book
}

// book is the picture of one account and when it was last read.
type book struct {
	mu      sync.Mutex
	picture *picture.Book
	read    time.Time
	// last is what the last plan was made from.
	last steering.Input
}

var _ decider.Planner = (*Planner)(nil)

// New returns a planner without any picture yet.
func New() *Planner {
	return &Planner{books: make(map[model.AccountName]*book)}
}

// Plan implements decider.Planner. The Explanation is a steering.Decision.
func (p *Planner) Plan(s decider.Situation) decider.Planned {
	in := p.input(&s)
	d := steering.Decide(in)
	return decider.Planned{
		Flows:       d.Plan.Flows,
		Moves:       ledgerMoves(d.Moves),
		Explanation: d,
	}
}

func (p *Planner) input(s *decider.Situation) steering.Input {
	in := steering.Input{
		Account:  s.Account,
		Now:      s.Now,
		Previous: s.Previous,
		Moved:    steeringMoves(s.Moves, s.Now),
	}
	reports := make([]picture.Report, 0, len(s.Reports))
	for _, r := range s.Reports {
		reports = append(reports, picture.Report{Report: r.Report, Age: r.Age})
	}
	b := p.book(s.Account.Name, s.Now)
	b.mu.Lock()
	defer b.mu.Unlock()
	in.Demand, in.Places = b.picture.Read(s.Account, reports, in.Moved, s.Now)
	if s.Now.Sub(s.Since) < settling {
		// The first reports after a change of decider are a part of the
		// demand only. Taken for all of it, they would make full places look
		// empty; unknown demand moves nothing.
		in.Demand = nil
	}
	b.last = in
	return in
}

// Last returns what the last plan of an account was made from, for forecasts;
// ok is false when this node has made none lately.
func (p *Planner) Last(account model.AccountName) (in steering.Input, ok bool) {
	p.mu.Lock()
	b := p.books[account]
	p.mu.Unlock()
	if b == nil {
		return steering.Input{}, false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.last, b.last.Account != nil
}

// book returns the picture of an account. One that was not read for long is
// of an earlier term and begun anew.
func (p *Planner) book(name model.AccountName, now time.Time) *book {
	p.mu.Lock()
	defer p.mu.Unlock()
	for other, b := range p.books {
		if now.Sub(b.read) > forgetting {
			delete(p.books, other)
		}
	}
	b := p.books[name]
	if b == nil {
		b = &book{picture: picture.NewBook()}
		p.books[name] = b
	}
	b.read = now
	return b
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
