package client

import "sync"

// maxSavedRetries bounds the retries saved up in quiet times.
const maxSavedRetries = 10

// retryBudget bounds retries to a share of fresh requests.
//
// Guard against retries pushing a failing region over: when every request is
// refused, each would otherwise be sent MaxAttempts times and the load on the
// entry VMs would grow just when they are short. Retries are paid from what
// fresh requests put in, so their sum cannot pass the share.
type retryBudget struct {
	mu    sync.Mutex
	share float64
	saved float64
}

func newRetryBudget(share float64) *retryBudget {
	return &retryBudget{share: share, saved: maxSavedRetries}
}

// fresh pays in for one fresh request.
func (b *retryBudget) fresh() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+b.share, maxSavedRetries)
}

// take reports whether one retry may be sent.
func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
