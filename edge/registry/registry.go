// Package registry keeps this VM listed in the store under a lease.
package registry

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/api/wait"
	"github.com/yuccaroute/yuccaroute/edge/site"
	"github.com/yuccaroute/yuccaroute/store"
)

const (
	// TTL is how long the store lists a VM that has vanished. Liveness is told by
	// datagrams; the list only has to lose VMs that are gone for good.
	TTL = 5 * time.Second
	// renewEvery leaves room for one lost call and its repeat within TTL. A VM whose entry
	// lapses stays known to those that get its reports, and registers anew.
	renewEvery = 2400 * time.Millisecond
	// watchRenewEvery and watchRenewTime are the same, and the bound of a renewal, while
	// the VM watches the store for others: see Duty. A renewal is a tenth of a call.
	watchRenewEvery = 500 * time.Millisecond
	watchRenewTime  = 600 * time.Millisecond
	// retryFirst and retryLast are the pauses after the first failed call in a row and
	// after the others. Each call has a price, in an outage too.
	retryFirst = time.Second
	retryLast  = 2 * time.Second
)

// StoreWatcher is the store watch of this VM, whose changes other VMs of its region copy.
type StoreWatcher interface {
	// Watching reports whether it does now.
	Watching() bool
	// CancelWatch ends a watch that is under way: the store does not answer this VM.
	CancelWatch()
}

// Registry lists one VM.
type Registry struct {
	duty  StoreWatcher
	kv    store.KV
	key   string
	value []byte
	log   *logrus.Entry
	lease store.LeaseID
	// unlisted tells that the copy of the store lacks this VM.
	unlisted atomic.Bool
}

// New returns a registry for a VM that is listed under key.
func New(kv store.KV, key string, vm site.VM, duty StoreWatcher, log *logrus.Entry) (*Registry, error) {
	value, err := json.Marshal(vm)
	if err != nil {
		return nil, errors.Wrap(err, "registry: encode")
	}
	return &Registry{kv: kv, key: key, value: value, duty: duty, log: log}, nil
}

// ReportMissing tells that the store's list lacks this VM: keys can vanish without any
// call that shows it.
func (r *Registry) ReportMissing() { r.unlisted.Store(true) }

// Run keeps the VM listed until the context ends, then removes it.
func (r *Registry) Run(ctx context.Context) {
	retry := retryFirst
	for ctx.Err() == nil {
		watching := r.duty.Watching()
		err := r.keep(ctx, watching)
		if err == nil {
			retry = retryFirst
			wait.For(ctx, pauseOf(watching))
			continue
		}
		r.log.WithError(err).Warn("registry: not renewed")
		r.duty.CancelWatch()
		wait.For(ctx, retry)
		retry = retryLast
	}
	r.remove()
}

func pauseOf(watching bool) time.Duration {
	if watching {
		return watchRenewEvery
	}
	return renewEvery
}

// keep renews the lease, or registers anew.
//
// Guard against a watching VM that is cut off from the store: its watch hangs until its
// wait ends, three seconds later, and it tells the others all the while that it watches.
// It shows as a whole region that goes on sending to targets that have left, when the one
// watching VM of each region is cut off. The guard holds because renewals are answered at
// once or not at all: with both bounds the others know within 1.1 s and watch themselves.
func (r *Registry) keep(ctx context.Context, watching bool) error {
	if r.lease != 0 && !r.unlisted.Load() {
		err := r.renew(ctx, watching)
		if !errors.Is(err, store.ErrLeaseGone) {
			return err
		}
	}
	return r.register(ctx)
}

func (r *Registry) renew(ctx context.Context, watching bool) error {
	if !watching {
		return r.kv.KeepAlive(ctx, r.lease)
	}
	ctx, cancel := context.WithTimeout(ctx, watchRenewTime)
	defer cancel()
	return r.kv.KeepAlive(ctx, r.lease)
}

func (r *Registry) register(ctx context.Context) error {
	r.lease = 0
	lease, err := r.kv.Grant(ctx, TTL)
	if err != nil {
		return err
	}
	r.unlisted.Store(false)
	_, err = r.kv.Swap(ctx, r.key, r.value, 0, lease)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		// The entry of an earlier start, or of a lost answer: it is replaced.
		_, err = r.kv.Swap(ctx, r.key, r.value, conflict.Current, lease)
	}
	if err != nil {
		return err
	}
	r.lease = lease
	r.log.WithField("key", r.key).Info("registry: listed")
	return nil
}

// removeTime bounds the removal at the end.
const removeTime = time.Second

func (r *Registry) remove() {
	if r.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), removeTime)
	defer cancel()
	if err := r.kv.Revoke(ctx, r.lease); err != nil {
		r.log.WithError(err).Warn("registry: not removed, the lease will end")
	}
}
