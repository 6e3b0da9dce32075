package keys

import (
	"context"
	"sync"
	"time"

	"github.com/yuccaroute/yuccaroute/store"
)

// spare is how much longer than a key must be kept its lease lives. Keys of
// that much time share one lease, so that cleaning up costs the store one call
// now and then and not one for each key.
const spare = 2

// rotatingLease holds the lease that new keys are bound to. It is never kept
// alive: when it lapses the store removes its keys.
type rotatingLease struct {
	kv   store.KV
	keep time.Duration

	mu    sync.Mutex
	id    store.LeaseID
	until time.Time
}

// get returns a lease that lives for at least keep.
func (l *rotatingLease) get(ctx context.Context) (store.LeaseID, error) {
	id, ok := l.current()
	if ok {
		return id, nil
	}
	asked := time.Now()
	id, err := l.kv.Grant(ctx, l.keep*spare)
	if err != nil {
		return 0, err
	}
	l.set(id, asked.Add(l.keep*(spare-1)))
	return id, nil
}

func (l *rotatingLease) current() (store.LeaseID, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.id, l.id != 0 && time.Now().Before(l.until)
}

func (l *rotatingLease) set(id store.LeaseID, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.id = id
	l.until = until
}

// drop makes the next get ask for a new lease: the store has lost this one.
func (l *rotatingLease) drop(id store.LeaseID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.id == id {
		l.id = 0
	}
}
