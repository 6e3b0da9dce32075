package quota

import (
	"math"
	"time"
)

// Each region has a coordinator of its own, so that a request does not wait for another region.
// A coordinator whose tokens run short asks those of the other regions for some. They give what
// they have beyond the part that is kept for requests that wait.

const (
	// transferInterval is the time between two questions to the other regions.
	transferInterval = 200 * time.Millisecond
	// transitTime is how long tokens that were given still count here, as they may be on their
	// way.
	transitTime = 500 * time.Millisecond
	// shortageWindow is how long after the last report of a VM an account is in use.
	shortageWindow = time.Second
)

// transfers is the state of a pool's exchange with those of other regions.
type transfers struct {
	sequence uint64
	askedAt  time.Time
	// asked holds when the questions without an answer were sent, by sequence number.
	asked map[uint64]time.Time
	// inTransit holds what was given lately, the oldest first.
	inTransit []transit
}

type transit struct {
	until  time.Time
	tokens map[uint32]int
}

// give answers the question of another region's coordinator.
func (p *Pool) give(now time.Time, m *request) *reply {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(now)
	r := &reply{incarnation: m.incarnation, group: m.group, groups: m.groups, sequence: m.sequence, transfer: true}
	given := make(map[uint32]int)
	pledged := p.pledgedShare(now)
	for _, report := range m.accounts {
		limit, known := p.limit(report.id)
		if !known {
			continue
		}
		a := p.account(report.id)
		allowed := p.bounds.allowanceFor(limit)
		p.mint(a, allowed, pledged)
		if n := min(report.needed, int(a.tokens-p.reserved*allowed.stored*pledged)); n > 0 {
			a.tokens -= float64(n)
			given[report.id] = n
			r.grants = append(r.grants, grant{id: report.id, tokens: n})
		}
	}
	if len(given) > 0 {
		p.addOutstanding(given, 1)
		p.inTransit = append(p.inTransit, transit{now.Add(transitTime), given})
	}
	return r
}

// endTransfers stops counting tokens that have arrived or are lost.
func (p *Pool) endTransfers(now time.Time) {
	for len(p.inTransit) > 0 && !now.Before(p.inTransit[0].until) {
		p.addOutstanding(p.inTransit[0].tokens, -1)
		p.inTransit = p.inTransit[1:]
	}
	for sequence, at := range p.asked {
		if now.Sub(at) >= transitTime {
			delete(p.asked, sequence)
		}
	}
}

// ask returns one question for each of a number of other regions, nil if nothing is short or the
// last questions are too recent.
func (p *Pool) ask(now time.Time, vm, incarnation uint64, key poolKey, regions int) []*request {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.askedAt) < transferInterval {
		return nil
	}
	short := p.shortages(now)
	if len(short) == 0 {
		return nil
	}
	p.askedAt = now
	var all []*request
	for range regions {
		p.sequence++
		p.asked[p.sequence] = now
		all = append(all, &request{
			vm: vm, incarnation: incarnation, group: key.group, groups: key.groups, sequence: p.sequence, transfer: true, accounts: short,
		})
	}
	return all
}

// shortages returns the accounts in use that have less than what is kept for requests that wait.
func (p *Pool) shortages(now time.Time) (short []accountReport) {
	pledged := p.pledgedShare(now)
	for id, a := range p.accounts {
		if now.Sub(a.askedAt) >= shortageWindow || len(short) >= maxAccountReports {
			continue
		}
		limit, known := p.limit(id)
		if !known {
			continue
		}
		allowed := p.bounds.allowanceFor(limit)
		p.mint(a, allowed, pledged)
		kept := p.reserved * allowed.stored * pledged
		if missing := allowed.stored*pledged - float64(a.outstanding) - a.tokens; a.tokens < kept && missing >= 1 {
			short = append(short, accountReport{id: id, needed: int(math.Floor(missing))})
		}
	}
	return short
}

// take adds tokens that another region has given.
func (p *Pool) take(now time.Time, m *reply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, asked := p.asked[m.sequence]; !asked {
		return
	}
	delete(p.asked, m.sequence)
	pledged := p.pledgedShare(now)
	for _, g := range m.grants {
		if limit, known := p.limit(g.id); known {
			a := p.account(g.id)
			a.tokens += float64(g.tokens)
			p.mint(a, p.bounds.allowanceFor(limit), pledged)
		}
	}
}
