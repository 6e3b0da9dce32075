// Package registry keeps this VM registered in the store under a lease.
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
	// TTL is how long a VM that has failed stays registered. Liveness is detected by reports
	// between VMs; the lease only has to remove VMs that do not come back.
	TTL = 5 * time.Second
	// renewInterval allows for one failed renewal and its retry within TTL.
	renewInterval = 2400 * time.Millisecond
	// watchRenewInterval and watchRenewTimeout apply while this VM watches the store, so that
	// it soon detects that it has lost the store.
	watchRenewInterval = 500 * time.Millisecond
	watchRenewTimeout  = 600 * time.Millisecond
	// firstRetryPause follows the first failed call in a row, retryPause the others.
	firstRetryPause = time.Second
	retryPause      = 2 * time.Second
)

// StoreWatcher is this VM's watch of the store. Other VMs of the region copy its changes.
type StoreWatcher interface {
	// Watching reports whether this VM watches the store.
	Watching() bool
	// CancelWatch cancels a watch in progress, as the store does not answer this VM.
	CancelWatch()
}

// Registry registers one VM.
type Registry struct {
	watcher StoreWatcher
	kv      store.KV
	key     string
	value   []byte
	log     *logrus.Entry
	lease   store.LeaseID
	// revision is that of the registration in the store, 0 if this VM has not written it.
	revision store.Revision
	// missing is set when the replica of the store lacks this VM.
	missing atomic.Bool
}

// New returns a registry for a VM that registers under key.
func New(kv store.KV, key string, vm site.VM, watcher StoreWatcher, log *logrus.Entry) (*Registry, error) {
	value, err := json.Marshal(vm)
	if err != nil {
		return nil, errors.Wrap(err, "registry: encode")
	}
	return &Registry{kv: kv, key: key, value: value, watcher: watcher, log: log}, nil
}

// ReportMissing causes a new registration. The store can lose a key while renewals of its
// lease still succeed.
func (r *Registry) ReportMissing() { r.missing.Store(true) }

// Run keeps the VM registered until the context ends, then removes it.
func (r *Registry) Run(ctx context.Context) {
	pause := firstRetryPause
	for ctx.Err() == nil {
		watching := r.watcher.Watching()
		err := r.renewOrRegister(ctx, watching)
		if err == nil {
			pause = firstRetryPause
			wait.For(ctx, renewPause(watching))
			continue
		}
		r.log.WithError(err).Warn("registry: not renewed")
		r.watcher.CancelWatch()
		wait.For(ctx, pause)
		pause = retryPause
	}
	r.remove()
}

func renewPause(watching bool) time.Duration {
	if watching {
		return watchRenewInterval
	}
	return renewInterval
}

// renewOrRegister renews the lease, or registers again if it is gone. A VM that watches renews
// with a short timeout: if it loses the store, its watch hangs until it times out, and until
// then the other VMs of the region would rely on it and send to targets that have left. With both
// bounds they know within 1.1 s and watch the store themselves.
func (r *Registry) renewOrRegister(ctx context.Context, watching bool) error {
	if r.lease != 0 && !r.missing.Load() {
		err := r.renew(ctx, watching)
		if !errors.Is(err, store.ErrLeaseGone) {
			return err
		}
		r.log.WithField("key", r.key).Warn("registry: lease gone, registering again")
		// The store may have been restored, and the watch hang since before that.
		r.watcher.CancelWatch()
	}
	return r.register(ctx)
}

func (r *Registry) renew(ctx context.Context, watching bool) error {
	if !watching {
		return r.kv.KeepAlive(ctx, r.lease)
	}
	ctx, cancel := context.WithTimeout(ctx, watchRenewTimeout)
	defer cancel()
	return r.kv.KeepAlive(ctx, r.lease)
}

func (r *Registry) register(ctx context.Context) error {
	r.lease = 0
	lease, err := r.kv.Grant(ctx, TTL)
	if err != nil {
		return err
	}
	r.missing.Store(false)
	revision, err := r.kv.Swap(ctx, r.key, r.value, 0, lease)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		// Replaces the entry of an earlier start, or of a registration whose answer was lost.
		revision, err = r.kv.Swap(ctx, r.key, r.value, conflict.Current, lease)
	}
	if err != nil {
		return err
	}
	r.lease, r.revision = lease, revision
	r.log.WithField("key", r.key).Info("registry: listed")
	return nil
}

// removeTimeout limits the removal at shutdown.
const removeTimeout = time.Second

// remove deletes the registration. It does not end the lease, which may be another VM's by now: a store
// that was restored gives IDs out again.
func (r *Registry) remove() {
	if r.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), removeTimeout)
	defer cancel()
	if err := r.kv.Delete(ctx, r.key, r.revision); err != nil {
		r.log.WithError(err).Warn("registry: not removed, the lease will end")
	}
}
