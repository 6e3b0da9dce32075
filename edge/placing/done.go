package placing

import "time"

// Outcome is the result of a request at a target.
type Outcome int

// Outcomes of a request.
const (
	// Answered: the target returned a complete response.
	Answered Outcome = iota
	// Shed: the target refused the request without running it.
	Shed
	// Failed: the response was lost, damaged or a server error.
	Failed
	// Unreachable: no connection could be made.
	Unreachable
	// Cancelled: the request was abandoned before a response came.
	Cancelled
)

// Done records the outcome of a request that was assigned to a target. took is the time from
// sending the request to the end of the response.
func (b *Balancer) Done(now time.Time, d Decision, class *Class, outcome Outcome, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := d.Target
	t.local--
	d.endInWorkingSet(now, outcome, took-t.rtt)
	s := b.services[t.Service]
	if s != nil && outcome != Cancelled {
		s.failures.record(outcome != Answered)
	}
	if s != nil {
		s.queue.endWork(now, &d, outcome, took-t.rtt)
	}
	switch outcome {
	case Answered:
		t.recordSuccess(now, class, d.Warm, took-t.rtt)
		if s != nil {
			s.occupancy.add(min(took-t.rtt, maxOccupancy*class.serviceTime(false)))
		}
	case Failed:
		t.recordFailure(now, false)
		b.recordLoss(now, t)
	case Shed:
		t.recordFailure(now, false)
	case Unreachable:
		t.recordFailure(now, true)
		b.recordLoss(now, t)
	case Cancelled:
		t.recordTimeout(now, class, d.Warm, took-t.rtt)
	}
	if s != nil {
		s.serve(now, b)
	}
}

// recordLoss records a capacity loss if the target was ejected.
func (b *Balancer) recordLoss(now time.Time, t *Target) {
	if t.needsProbe {
		b.lossAt = now
	}
}
