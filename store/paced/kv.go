package paced

import (
	"context"
	"time"

	"github.com/yuccaroute/yuccaroute/store"
)

func (k *KV) defaultCall() callOptions { return callOptions{timeout: k.options.Timeout} }

// Get implements store.KV.
func (k *KV) Get(ctx context.Context, key string) (entry store.Entry, err error) {
	err = k.do(ctx, k.defaultCall(), func(ctx context.Context) error {
		var err error
		entry, err = k.inner.Get(ctx, key)
		return err
	})
	return entry, err
}

// List implements store.KV.
func (k *KV) List(ctx context.Context, prefix string) (list store.Listing, err error) {
	err = k.do(ctx, k.defaultCall(), func(ctx context.Context) error {
		var err error
		list, err = k.inner.List(ctx, prefix)
		return err
	})
	return list, err
}

// Swap implements store.KV.
func (k *KV) Swap(ctx context.Context, key string, value []byte, expected store.Revision, lease store.LeaseID) (at store.Revision, err error) {
	err = k.do(ctx, k.defaultCall(), func(ctx context.Context) error {
		var err error
		at, err = k.inner.Swap(ctx, key, value, expected, lease)
		return err
	})
	return at, err
}

// Delete implements store.KV.
func (k *KV) Delete(ctx context.Context, key string, expected store.Revision) error {
	return k.do(ctx, k.defaultCall(), func(ctx context.Context) error {
		return k.inner.Delete(ctx, key, expected)
	})
}

// Watch implements store.KV.
func (k *KV) Watch(ctx context.Context, prefix string, after store.Revision) (batch store.Batch, err error) {
	err = k.do(ctx, callOptions{timeout: k.options.WatchTimeout}, func(ctx context.Context) error {
		var err error
		batch, err = k.inner.Watch(ctx, prefix, after)
		return err
	})
	return batch, err
}

// Grant implements store.KV.
func (k *KV) Grant(ctx context.Context, ttl time.Duration) (lease store.LeaseID, err error) {
	err = k.do(ctx, k.defaultCall(), func(ctx context.Context) error {
		var err error
		lease, err = k.inner.Grant(ctx, ttl)
		return err
	})
	return lease, err
}

// KeepAlive implements store.KV. It does not queue behind other calls.
func (k *KV) KeepAlive(ctx context.Context, lease store.LeaseID) error {
	return k.do(ctx, callOptions{timeout: k.options.Timeout, urgent: true}, func(ctx context.Context) error {
		return k.inner.KeepAlive(ctx, lease)
	})
}

// Revoke implements store.KV.
func (k *KV) Revoke(ctx context.Context, lease store.LeaseID) error {
	return k.do(ctx, k.defaultCall(), func(ctx context.Context) error {
		return k.inner.Revoke(ctx, lease)
	})
}
