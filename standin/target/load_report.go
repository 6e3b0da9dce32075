package target

import (
	"sync"
	"time"
)

// loadReport is what the target tells of its load; it is up to lag old.
type loadReport struct {
	lag time.Duration

	mu    sync.Mutex
	value int
	at    time.Time
}

// current returns the report; load is the true value.
func (r *loadReport) current(load int, faults *Faults) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if faults.IdleLoad {
		return 0
	}
	if faults.StuckLoad {
		return r.value
	}
	if now := time.Now(); now.Sub(r.at) >= r.lag {
		r.value = load
		r.at = now
	}
	return r.value
}
