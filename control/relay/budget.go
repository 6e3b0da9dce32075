package relay

import "time"

const (
	// urgentBurst is how many batches with urgent reports a relay may send at once,
	// and urgentInterval the time between further ones.
	urgentBurst    = 3
	urgentInterval = 500 * time.Millisecond
)

// urgentBudget limits the rate of batches with urgent reports of an account, however
// many nodes are short of capacity. The zero value is a full budget.
type urgentBudget struct {
	// refilledAt is when the budget is full again.
	refilledAt time.Time
}

// wait returns how long the next batch must wait.
func (b *urgentBudget) wait(now time.Time) time.Duration {
	return max(0, b.refilledAt.Add(-(urgentBurst-1)*urgentInterval).Sub(now))
}

// spend records a batch that is sent as soon as the budget allows.
func (b *urgentBudget) spend(now time.Time) {
	if b.refilledAt.Before(now) {
		b.refilledAt = now
	}
	b.refilledAt = b.refilledAt.Add(urgentInterval)
}
