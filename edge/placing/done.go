package placing

import "time"

// Outcome is how a request ended at a target.
type Outcome int

// Ends of a request.
const (
	// Answered: the target gave its whole answer.
	Answered Outcome = iota
	// Shed: the target did not run the request.
	Shed
	// Failed: the answer was lost, spoilt or an error of the target.
	Failed
	// Unreachable: no connection could be had.
	Unreachable
	// Cancelled: the caller or the system gave up. It says of the target only that it has
	// not answered so far.
	Cancelled
)

// Done ends a request that was given a target. took is from sending to the
// answer's end.
func (b *Balancer) Done(now time.Time, d Decision, class *Class, outcome Outcome, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := d.Target
	t.local--
	s := b.services[t.Service]
	if s != nil && outcome != Cancelled {
		s.failures.record(outcome != Answered)
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

func (b *Balancer) recordLoss(now time.Time, t *Target) {
	if t.needsProbe {
		b.lossAt = now
	}
}
