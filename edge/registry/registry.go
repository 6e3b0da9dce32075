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
	// renewEvery leaves room for two lost calls within TTL.
	renewEvery = 1500 * time.Millisecond
	// retryFirst and retryLast are the pauses after the first failed call in a row and
	// after the others: two more calls within TTL. Each call has a price, in an outage
	// too: 81 VMs made 941 in 8 s with a pause of 0.5 s.
	retryFirst = time.Second
	retryLast  = 2 * time.Second
)

// Registry lists one VM.
type Registry struct {
	kv    store.KV
	key   string
	value []byte
	log   *logrus.Entry
	lease store.LeaseID
	// unlisted tells that the copy of the store lacks this VM.
	unlisted atomic.Bool
}

// New returns a registry for a VM that is listed under key.
func New(kv store.KV, key string, vm site.VM, log *logrus.Entry) (*Registry, error) {
	value, err := json.Marshal(vm)
	if err != nil {
		return nil, errors.Wrap(err, "registry: encode")
	}
	return &Registry{kv: kv, key: key, value: value, log: log}, nil
}

// Missing tells that the store's list lacks this VM: keys can vanish without any
// call that shows it.
func (r *Registry) Missing() { r.unlisted.Store(true) }

// Run keeps the VM listed until the context ends, then removes it.
func (r *Registry) Run(ctx context.Context) {
	retry := retryFirst
	for ctx.Err() == nil {
		err := r.keep(ctx)
		if err == nil {
			retry = retryFirst
			wait.For(ctx, renewEvery)
			continue
		}
		r.log.WithError(err).Warn("registry: not renewed")
		wait.For(ctx, retry)
		retry = retryLast
	}
	r.remove()
}

// keep renews the lease, or registers anew.
func (r *Registry) keep(ctx context.Context) error {
	if r.lease != 0 && !r.unlisted.Load() {
		err := r.kv.KeepAlive(ctx, r.lease)
		if !errors.Is(err, store.ErrLeaseGone) {
			return err
		}
	}
	return r.register(ctx)
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
