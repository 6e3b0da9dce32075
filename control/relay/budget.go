package relay

import "time"

const (
	// urgentBurst is how many batches with urgent reports a relay may send at once,
	// and urgentEvery the time between them when more are wanted.
	urgentBurst = 3
	urgentEvery = 500 * time.Millisecond
)

// budget bounds the batches with urgent reports of an account, however many nodes
// are short. Its zero value is full.
type budget struct {
	// due is when all that was spent is earned again.
	due time.Time
}

// wait returns how long from now on the next batch must wait.
func (b *budget) wait(now time.Time) time.Duration {
	return max(0, b.due.Add(-(urgentBurst-1)*urgentEvery).Sub(now))
}

// spend notes that a batch is sent as soon as it may.
func (b *budget) spend(now time.Time) {
	if b.due.Before(now) {
		b.due = now
	}
	b.due = b.due.Add(urgentEvery)
}
