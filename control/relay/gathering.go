package relay

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/api/result"
)

// held is a report that waits at a relay.
type held struct {
	ctx    context.Context
	report *peerpb.RenewRequest
	at     time.Time
	// answer takes one value: the decider's answer, nil for none.
	answer chan *peerpb.RenewResponse
}

// queue is the reports of one batch to come.
type queue struct {
	held []*held
	// armed tells that the batch has a time at which it is sent.
	armed bool
}

// gathering is the reports of one account that wait at a relay.
type gathering struct {
	relay   *Relay
	account model.AccountName

	mu sync.Mutex
	// short holds the reports of nodes that are short. They travel apart: their
	// answers are held by the decider, and the others would wait for them.
	regular, short queue
	budget         budget
}

// add takes a report in; ok is false when the relay holds too many.
func (g *gathering) add(h *held, urgent bool) (ok bool) {
	now := g.relay.options.Clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	q := &g.regular
	if h.report.Short {
		q = &g.short
	}
	if len(q.held) >= maxHeld {
		return false
	}
	q.held = append(q.held, h)
	switch {
	case h.report.Short:
		if !q.armed {
			g.arm(q, g.budget.wait(now))
			g.budget.spend(now)
		}
	case urgent && g.budget.wait(now) == 0:
		g.budget.spend(now)
		go g.send(q)
	case !q.armed:
		g.arm(q, HoldTime(g.relay.options.FleetSize()))
	}
	return true
}

// arm sets the time at which a queue is sent; it needs mu.
func (g *gathering) arm(q *queue, delay time.Duration) {
	q.armed = true
	time.AfterFunc(delay, func() {
		g.mu.Lock()
		q.armed = false
		g.mu.Unlock()
		g.send(q)
	})
}

// send sends what a queue holds as one batch. Nothing is sent twice: a node that
// gets no answer reports anew, with what it has in force then.
func (g *gathering) send(q *queue) {
	batch := g.take(q)
	if len(batch) == 0 {
		return
	}
	answers, err := g.ask(batch)
	if err != nil {
		g.relay.counts.failed.Add(uint64(len(batch)))
		answers = make([]*peerpb.RenewResponse, len(batch))
	}
	for i, h := range batch {
		h.answer <- answers[i]
	}
}

// take empties a queue and returns the reports that nodes still wait for.
//
// Guard against a relay that was paused, or whose VM was suspended, while it held
// reports: sent on afterwards they would tell the decider that nodes run which may
// have ended long since, and their grants would not be freed. The guard holds
// because a report is sent on only while its node waits for the answer.
func (g *gathering) take(q *queue) []*held {
	g.mu.Lock()
	all := q.held
	q.held = nil
	g.mu.Unlock()
	oldest := g.relay.options.Clock().Add(-NodeTimeout(g.relay.options.FleetSize()))
	var fresh []*held
	for _, h := range all {
		if h.ctx.Err() != nil || h.at.Before(oldest) {
			h.answer <- nil
			continue
		}
		fresh = append(fresh, h)
	}
	return fresh
}

// ask sends a batch to the decider and returns the answers in its order.
func (g *gathering) ask(batch []*held) ([]*peerpb.RenewResponse, error) {
	decider, _, ok := g.relay.options.Decider(g.account)
	if !ok {
		return nil, errFailed
	}
	conn, err := g.relay.options.Dial(decider.PeerAddress)
	if err != nil {
		return nil, err
	}
	reports := make([]*peerpb.RenewRequest, len(batch))
	timeout := deciderTimeout
	for i, h := range batch {
		reports[i] = h.report
		if h.report.Short {
			timeout = shortTimeout
		}
	}
	g.relay.counts.batches.Add(1)
	g.relay.counts.passed.Add(uint64(len(batch)))
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	response, err := peerpb.NewRelayClient(conn).Batch(ctx, EncodeBatch(string(g.account), reports))
	if err != nil {
		return nil, err
	}
	if response.Code != uint32(result.OK) || len(response.Answers) != len(batch) {
		return nil, status.Errorf(codes.Unavailable, "relay: decider refused the batch, code %d", response.Code)
	}
	return DecodeAnswers(response), nil
}
