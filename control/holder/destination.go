package holder

import (
	"context"
	"time"

	"github.com/yuccaroute/yuccaroute/api/peerpb"
)

// destination is where a report is sent.
type destination struct {
	// decider is the final recipient, nil if unknown; relay is the node that
	// forwards the report, nil for none.
	decider, relay *peerpb.NodeRef
	// timeout bounds the wait for the relay; epoch is the highest decider epoch
	// known.
	timeout time.Duration
	epoch   uint64
	urgent  bool
}

// chooseDestination chooses between a relay and the decider. A node that is itself
// the decider sends its report directly.
func (r *Runner) chooseDestination(request *peerpb.RenewRequest) destination {
	decider, epoch, ok := r.options.Decider()
	r.mu.Lock()
	defer r.mu.Unlock()
	dest := destination{decider: decider, urgent: r.urgent}
	r.urgent = false
	if ok {
		r.core.ObserveEpoch(epoch)
	}
	dest.epoch = r.core.HighestEpoch()
	if r.relaySelector != nil && decider != nil && decider.Vm != r.options.Ref.Vm && !request.Stopped {
		dest.relay, dest.timeout = r.relaySelector.Next(r.options.Clock())
	}
	r.atRelay = dest.relay != nil && !request.Short
	if dest.relay == nil {
		dest.decider = r.takeDeciderHint(decider)
	}
	return dest
}

// directDestination returns a destination without a relay.
func (r *Runner) directDestination() destination {
	decider, epoch, ok := r.options.Decider()
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok {
		r.core.ObserveEpoch(epoch)
	}
	return destination{decider: r.takeDeciderHint(decider)}
}

// takeDeciderHint returns and clears the hint, or returns the given decider if there
// is none. A hint is used only once, because the node that gave it may be out of
// date. The caller holds mu.
func (r *Runner) takeDeciderHint(decider *peerpb.NodeRef) *peerpb.NodeRef {
	if r.deciderHint == nil {
		return decider
	}
	hint := r.deciderHint
	r.deciderHint = nil
	return hint
}

func (r *Runner) send(ctx context.Context, dest destination, request *peerpb.RenewRequest) (*peerpb.RenewResponse, error) {
	if dest.decider == nil {
		return nil, errNoDecider
	}
	if dest.relay != nil {
		ctx, cancel := context.WithTimeout(ctx, dest.timeout)
		defer cancel()
		return r.options.SendViaRelay(ctx, dest.relay, &peerpb.PassRequest{Report: request, Urgent: dest.urgent, DeciderEpoch: dest.epoch})
	}
	conn, err := r.options.Dial(dest.decider.PeerAddress)
	if err != nil {
		return nil, err
	}
	return peerpb.NewControlClient(conn).Renew(ctx, request)
}

// recordDelivery records the result of a report. After a relay failure the next
// report goes directly to the decider: immediately if the node is short of capacity,
// otherwise after a delay that the relay selector chooses. Nodes therefore keep
// their surplus when the relay of their failure domain is down or partitioned.
func (r *Runner) recordDelivery(dest destination, request *peerpb.RenewRequest, sent time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok {
		r.answeredReportSent = sent
	}
	if r.relaySelector == nil {
		return
	}
	if ok {
		r.relaySelector.RecordAnswer()
		return
	}
	if dest.relay == nil {
		return
	}
	now := r.options.Clock()
	r.nextReport = now.Add(r.relaySelector.RecordFailure(dest.relay, r.answeredReportSent, now))
	if request.Short {
		r.relaySelector.ForceDirect(now)
		r.reportShortage, r.retry = true, true
	}
}

// takeRetry reports whether a report must be sent again at once, and clears the
// flag.
func (r *Runner) takeRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	retry := r.retry
	r.retry = false
	return retry
}

// setCancel stores the cancel function of the request about to be sent and returns
// the number of its report.
func (r *Runner) setCancel(cancel context.CancelFunc) (number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancel = cancel
	return r.reportNumber
}

// markUrgent makes a relay forward the next report without delay.
func (r *Runner) markUrgent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.urgent = true
}
