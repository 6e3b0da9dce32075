package holder

import (
	"context"
	"time"

	"github.com/yuccaroute/yuccaroute/api/peerpb"
)

// way is where a report goes.
type way struct {
	// decider is whom it is for, nil for none known, relay the node that passes it
	// on, nil for none.
	decider, relay *peerpb.NodeRef
	// timeout bounds the wait for the relay, epoch is the highest heard of.
	timeout time.Duration
	epoch   uint64
	urgent  bool
}

// way chooses how a request goes to the decider. A decider asks itself directly.
func (r *Runner) way(request *peerpb.RenewRequest) way {
	decider, epoch, ok := r.options.Decider()
	r.mu.Lock()
	defer r.mu.Unlock()
	w := way{decider: decider, urgent: r.urgent}
	r.urgent = false
	if ok {
		r.core.ObserveEpoch(epoch)
	}
	w.epoch = r.core.HighestEpoch()
	if r.route != nil && decider != nil && decider.Vm != r.options.Ref.Vm && !request.Stopped {
		w.relay, w.timeout = r.route.Next(r.options.Clock())
	}
	r.relayed = w.relay != nil && !request.Short
	if w.relay == nil {
		w.decider = r.takeHint(decider)
	}
	return w
}

// directly is the way without a relay.
func (r *Runner) directly() way {
	decider, epoch, ok := r.options.Decider()
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok {
		r.core.ObserveEpoch(epoch)
	}
	return way{decider: r.takeHint(decider)}
}

// takeHint returns the hint, if there is one, in place of the decider that was heard
// of. A hint is used once: the node that gave it may be behind. It needs mu.
func (r *Runner) takeHint(decider *peerpb.NodeRef) *peerpb.NodeRef {
	if r.hint == nil {
		return decider
	}
	hint := r.hint
	r.hint = nil
	return hint
}

// renew sends a request.
func (r *Runner) renew(ctx context.Context, w way, request *peerpb.RenewRequest) (*peerpb.RenewResponse, error) {
	if w.decider == nil {
		return nil, errNoDecider
	}
	if w.relay != nil {
		ctx, cancel := context.WithTimeout(ctx, w.timeout)
		defer cancel()
		return r.options.SendViaRelay(ctx, w.relay, &peerpb.PassRequest{Report: request, Urgent: w.urgent, DeciderEpoch: w.epoch})
	}
	conn, err := r.options.Dial(w.decider.PeerAddress)
	if err != nil {
		return nil, err
	}
	return peerpb.NewControlClient(conn).Renew(ctx, request)
}

// noteWay notes what became of a report on its way. When a relay failed, the next
// one goes directly: that of a node that is short at once, others when the route
// says so.
//
// Guard against a relay that is paused, cut off, killed or behind: it shows as
// reports of one failure domain without an answer, and the nodes would lose their
// surplus. The guard holds because the node does not need the relay to reach the
// decider, and asks for itself before its surplus ends.
func (r *Runner) noteWay(w way, request *peerpb.RenewRequest, sent time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok {
		r.renewed = sent
	}
	if r.route == nil {
		return
	}
	if ok {
		r.route.RecordAnswer()
		return
	}
	if w.relay == nil {
		return
	}
	now := r.options.Clock()
	r.due = now.Add(r.route.RecordFailure(w.relay, r.renewed, now))
	if request.Short {
		r.route.ForceDirect(now)
		r.tellsShort, r.repeat = true, true
	}
}

// again reports whether a report is to be made again at once.
func (r *Runner) again() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	again := r.repeat
	r.repeat = false
	return again
}

// setCancel notes how to end the request about to be made, and returns its turn.
func (r *Runner) setCancel(cancel context.CancelFunc) (turn uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancel = cancel
	return r.turn
}

// noteUrgent notes that the next report should not wait at a relay.
func (r *Runner) noteUrgent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.urgent = true
}
