package check

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/result"
)

// Told is what one caller was told of one request. A request repeated by its
// caller has one Told for each time, all with the same token.
type Told struct {
	// Token is the request's own; AnswerToken is the one in its answer, "" when
	// there was no answer of a target.
	Token       string
	AnswerToken string
	Account     model.AccountName
	Service     model.ServiceName
	// Caller is the region of the caller's address block.
	Caller model.RegionName
	Class  model.Class
	// Outcome, Code and Status are what the caller was told.
	Outcome result.Outcome
	Code    result.Code
	Status  int
	// Whole tells that the body is all that the target sent, by the length and
	// checksum the target put into it.
	Whole bool
	// Intended is when the request was due, Sent when it was sent and Done when
	// its answer ended.
	Intended, Sent, Done time.Time
	// Entry is the identifier of the entry VM, "" when none answered.
	Entry    string
	Place    model.PlaceName
	Target   string
	Attempts int
}

// Latency is what the caller felt, from when the request was due.
func (t *Told) Latency() time.Duration { return t.Done.Sub(t.Intended) }

// Ran is one line of a target's ledger: a request that reached its handler.
type Ran struct {
	Token   string
	Target  string
	Account model.AccountName
	Service model.ServiceName
	Place   model.PlaceName
	// At is when the request arrived.
	At time.Time
	// Count is how often the handler ran it; 0 reads as 1.
	Count int
}

func (r *Ran) times() int { return max(1, r.Count) }

// Leaving tells that a target takes no new work from At on, until it is back.
type Leaving struct {
	Target string
	At     time.Time
	// Until is when it may be used again; the zero time is never.
	Until time.Time
}
