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
func (b *Balancer) Done(now time.Time, d Decision, class *Class, end Outcome, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := d.Target
	t.local--
	s := b.services[t.Service]
	if s != nil && end != Cancelled {
		s.failures.note(end != Answered)
	}
	switch end {
	case Answered:
		t.succeeded(now, class, d.Warm, took-t.delay)
		if s != nil {
			s.occupancy.add(min(took-t.delay, maxOccupancy*class.work(false)))
		}
	case Failed:
		t.failed(now, false)
		b.noteLoss(now, t)
	case Shed:
		t.failed(now, false)
	case Unreachable:
		t.failed(now, true)
		b.noteLoss(now, t)
	case Cancelled:
		t.outlasted(now, class, d.Warm, took-t.delay)
	}
	if s != nil {
		s.serve(now, b)
	}
}

func (b *Balancer) noteLoss(now time.Time, t *Target) {
	if t.probing {
		b.lossAt = now
	}
}
