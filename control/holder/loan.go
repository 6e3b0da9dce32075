package holder

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/api/result"
)

// loan is a part of the lender's floor that the borrower uses for a time. The
// lender counts its end from receiving the request, with a margin, and the
// borrower from sending it.
type loan struct {
	transfer uint64
	peer     grant.NodeID
	amounts  []lentAmount
	until    time.Time
}

type lentAmount struct {
	key    grant.Key
	amount grant.Amount
}

// Lend answers a request for a loan received at now. The own floor is lowered
// before the answer exists: the caller must put Set in force and then send it.
// A repeated transfer gets the same amounts, as the first answer may be lost.
func (c *Core) Lend(request *peerpb.LendRequest, now time.Time) (response *peerpb.LendResponse, changed bool) {
	changed = c.expireLoans(now)
	if code := c.mayLend(request, now); code != result.OK {
		if changed {
			c.rebuild()
		}
		return &peerpb.LendResponse{Code: uint32(code)}, changed
	}
	l := c.findLent(request)
	if l == nil {
		l = c.addLent(request)
	}
	l.until = now.Add(c.options.Params.Wait(c.options.Params.LoanTTL))
	if !c.options.Params.Faults.LendWithoutLowering {
		c.rebuild()
	}
	return c.lendResponse(l), true
}

// mayLend refuses a borrower in another region, because its work would enter
// the place over a link that the lender's floor does not count for, and a
// loan that the floor in force does not cover.
func (c *Core) mayLend(request *peerpb.LendRequest, now time.Time) result.Code {
	if c.stopping || c.paused(now) || !c.alive.Live(now) {
		return result.NodeLeaving
	}
	sameRegion := model.RegionName(request.Node.GetRegion()) == c.options.Region
	if !sameRegion && !c.options.Params.Faults.LendAcrossRegions {
		return result.Forbidden
	}
	if !c.HasFloor() || !c.coversLoans() {
		return result.NoCapacity
	}
	return result.OK
}

func (c *Core) findLent(request *peerpb.LendRequest) *loan {
	id := peerOf(request.Node)
	for i := range c.lent {
		if c.lent[i].peer == id && c.lent[i].transfer == request.Transfer {
			return &c.lent[i]
		}
	}
	return nil
}

func (c *Core) addLent(request *peerpb.LendRequest) *loan {
	l := loan{transfer: request.Transfer, peer: peerOf(request.Node)}
	for _, w := range request.Wanted {
		key := c.keyOf(w)
		free := c.floorOf(key) - min(c.lentOf(key), c.floorOf(key))
		amount := min(grant.Amount(w.Floor), grant.Amount(float64(free)*c.options.LendShare))
		if amount > 0 {
			l.amounts = append(l.amounts, lentAmount{key: key, amount: amount})
		}
	}
	c.lent = append(c.lent, l)
	return &c.lent[len(c.lent)-1]
}

func (c *Core) lendResponse(l *loan) *peerpb.LendResponse {
	response := &peerpb.LendResponse{
		Transfer: l.transfer,
		TtlMs:    uint32(c.options.Params.LoanTTL.Milliseconds()),
	}
	for _, a := range l.amounts {
		response.Lent = append(response.Lent, &peerpb.Grant{
			Service: string(a.key.Service),
			Place:   string(a.key.Place),
			Floor:   uint64(a.amount),
		})
	}
	return response
}

// MayBorrow reports whether the node has nothing of its own.
func (c *Core) MayBorrow(now time.Time) bool {
	return !c.stopping && !c.HasFloor() && !now.Before(c.surplusExpires)
}

// HandleLoan takes in the answer of a lender to a request sent at sentAt.
func (c *Core) HandleLoan(lender grant.NodeID, sentAt time.Time, response *peerpb.LendResponse, now time.Time) bool {
	if response.Code != uint32(result.OK) || !c.MayBorrow(now) || !sentAt.After(c.voided) {
		return false
	}
	from := sentAt
	if c.options.Params.Faults.LoanFromReceipt {
		from = now
	}
	l := loan{
		transfer: response.Transfer,
		peer:     lender,
		until:    from.Add(time.Duration(response.TtlMs) * time.Millisecond),
	}
	if !now.Before(l.until) {
		return false
	}
	for _, g := range response.Lent {
		l.amounts = append(l.amounts, lentAmount{key: c.keyOf(g), amount: grant.Amount(g.Floor)})
	}
	c.replaceBorrowed(l)
	c.rebuild()
	return true
}

// replaceBorrowed keeps one loan of each lender: a renewed loan has the same
// transfer and must not count twice.
func (c *Core) replaceBorrowed(l loan) {
	for i := range c.borrowed {
		if c.borrowed[i].peer == l.peer {
			c.borrowed[i] = l
			return
		}
	}
	c.borrowed = append(c.borrowed, l)
}

// borrowedGrants sums the loans. They end together, at the earliest end.
func (c *Core) borrowedGrants() ([]grant.Grant, time.Time) {
	var grants []grant.Grant
	var until time.Time
	for _, l := range c.borrowed {
		if until.IsZero() || l.until.Before(until) {
			until = l.until
		}
		for _, a := range l.amounts {
			grants = addSurplus(grants, a)
		}
	}
	return grants, until
}

func addSurplus(grants []grant.Grant, a lentAmount) []grant.Grant {
	for i := range grants {
		if grants[i].Key == a.key {
			grants[i].Surplus += a.amount
			return grants
		}
	}
	return append(grants, grant.Grant{Key: a.key, Surplus: a.amount})
}

// expireLoans ends the loans that have run out and reports whether it did.
func (c *Core) expireLoans(now time.Time) bool {
	lent := live(&c.lent, now)
	borrowed := live(&c.borrowed, now)
	if lent && c.epoch != 0 {
		c.acknowledge()
	}
	return lent || borrowed
}

func live(loans *[]loan, now time.Time) (changed bool) {
	kept := (*loans)[:0]
	for _, l := range *loans {
		if now.Before(l.until) {
			kept = append(kept, l)
			continue
		}
		changed = true
	}
	*loans = kept
	return changed
}

func (c *Core) lentOf(key grant.Key) grant.Amount {
	var sum grant.Amount
	for _, l := range c.lent {
		for _, a := range l.amounts {
			if a.key == key {
				sum += a.amount
			}
		}
	}
	return sum
}

func (c *Core) floorOf(key grant.Key) grant.Amount {
	for i := range c.grants {
		if c.grants[i].Key == key {
			return c.grants[i].Floor
		}
	}
	return 0
}

func (c *Core) coversLoans() bool {
	for _, l := range c.lent {
		for _, a := range l.amounts {
			if c.lentOf(a.key) > c.floorOf(a.key) {
				return false
			}
		}
	}
	return true
}

func peerOf(ref *peerpb.NodeRef) grant.NodeID {
	return grant.NodeID{VM: ref.GetVm(), Incarnation: ref.GetIncarnation()}
}
