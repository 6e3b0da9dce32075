package keys

import (
	"context"
	"sync"
	"time"

	"github.com/yuccaroute/yuccaroute/store"
)

// leaseFactor is the ratio of the lifetime of a lease to the retention of keys.
// The longer lifetime lets many keys share one lease, which keeps store calls for
// leases rare.
const leaseFactor = 2

// rotatingLease holds the lease that new keys are attached to. It is never
// renewed: when it expires, the store removes its keys.
type rotatingLease struct {
	kv        store.KV
	retention time.Duration

	mu          sync.Mutex
	id          store.LeaseID
	usableUntil time.Time
}

// get returns a lease that lasts for at least the retention time.
func (l *rotatingLease) get(ctx context.Context) (store.LeaseID, error) {
	id, ok := l.current()
	if ok {
		return id, nil
	}
	requestedAt := time.Now()
	id, err := l.kv.Grant(ctx, l.retention*leaseFactor)
	if err != nil {
		return 0, err
	}
	l.set(id, requestedAt.Add(l.retention*(leaseFactor-1)))
	return id, nil
}

func (l *rotatingLease) current() (store.LeaseID, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.id, l.id != 0 && time.Now().Before(l.usableUntil)
}

func (l *rotatingLease) set(id store.LeaseID, usableUntil time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.id = id
	l.usableUntil = usableUntil
}

// drop discards a lease that the store no longer has, so that the next get requests
// a new one.
func (l *rotatingLease) drop(id store.LeaseID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id == id {
		l.id = 0
	}
}
