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

// pendingReport is a report waiting at a relay.
type pendingReport struct {
	ctx        context.Context
	report     *peerpb.RenewRequest
	receivedAt time.Time
	// answer receives one value: the decider's answer, nil for none.
	answer chan *peerpb.RenewResponse
}

// queue holds the reports of the next batch.
type queue struct {
	pending []*pendingReport
	// scheduled is set if the batch has a time at which it is sent.
	scheduled bool
}

// batcher collects the reports of one account at a relay.
type batcher struct {
	relay   *Relay
	account model.AccountName

	mu sync.Mutex
	// short holds the reports of nodes short of capacity. They are sent separately,
	// because the decider holds their answers and would delay the others.
	regular, short queue
	budget         urgentBudget
}

// add queues a report; ok is false if the queue is full.
func (b *batcher) add(p *pendingReport, urgent bool) (ok bool) {
	now := b.relay.options.Clock()
	b.mu.Lock()
	defer b.mu.Unlock()
	q := &b.regular
	if p.report.Short {
		q = &b.short
	}
	if len(q.pending) >= maxPending {
		return false
	}
	q.pending = append(q.pending, p)
	switch {
	case p.report.Short:
		if !q.scheduled {
			b.schedule(q, b.budget.wait(now))
			b.budget.spend(now)
		}
	case urgent && b.budget.wait(now) == 0:
		b.budget.spend(now)
		go b.flush(q)
	case !q.scheduled:
		b.schedule(q, HoldTime(b.relay.options.FleetSize()))
	}
	return true
}

// schedule sets the time at which a queue is sent. The caller holds mu.
func (b *batcher) schedule(q *queue, delay time.Duration) {
	q.scheduled = true
	time.AfterFunc(delay, func() {
		b.mu.Lock()
		q.scheduled = false
		b.mu.Unlock()
		b.flush(q)
	})
}

// flush sends the reports of a queue as one batch. Nothing is retried: a node
// without an answer reports again with its current state.
func (b *batcher) flush(q *queue) {
	batch := b.take(q)
	if len(batch) == 0 {
		return
	}
	answers, err := b.sendBatch(batch)
	if err != nil {
		b.relay.counts.failed.Add(uint64(len(batch)))
		answers = make([]*peerpb.RenewResponse, len(batch))
	}
	for i, p := range batch {
		p.answer <- answers[i]
	}
}

// take empties a queue and returns the reports whose nodes still wait. Forwarding
// older ones, for example after the relay was paused, would make ended nodes look
// alive and keep their grants from being freed.
func (b *batcher) take(q *queue) []*pendingReport {
	b.mu.Lock()
	all := q.pending
	q.pending = nil
	b.mu.Unlock()
	oldest := b.relay.options.Clock().Add(-NodeTimeout(b.relay.options.FleetSize()))
	var fresh []*pendingReport
	for _, p := range all {
		if p.ctx.Err() != nil || p.receivedAt.Before(oldest) {
			p.answer <- nil
			continue
		}
		fresh = append(fresh, p)
	}
	return fresh
}

// sendBatch sends a batch to the decider and returns the answers in the same order.
func (b *batcher) sendBatch(batch []*pendingReport) ([]*peerpb.RenewResponse, error) {
	decider, _, ok := b.relay.options.Decider(b.account)
	if !ok {
		return nil, errNoAnswer
	}
	conn, err := b.relay.options.Dial(decider.PeerAddress)
	if err != nil {
		return nil, err
	}
	reports := make([]*peerpb.RenewRequest, len(batch))
	timeout := deciderTimeout
	for i, p := range batch {
		reports[i] = p.report
		if p.report.Short {
			timeout = shortageTimeout
		}
	}
	b.relay.counts.batches.Add(1)
	b.relay.counts.passed.Add(uint64(len(batch)))
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	response, err := peerpb.NewRelayClient(conn).Batch(ctx, EncodeBatch(string(b.account), reports))
	if err != nil {
		return nil, err
	}
	if response.Code != uint32(result.OK) || len(response.Answers) != len(batch) {
		return nil, status.Errorf(codes.Unavailable, "relay: decider refused the batch, code %d", response.Code)
	}
	return DecodeAnswers(response), nil
}
