package faultkv

import (
	"context"
	"time"

	"github.com/yuccaroute/yuccaroute/store"
)

// Get implements store.KV.
func (s *Store) Get(ctx context.Context, key string) (entry store.Entry, err error) {
	err = s.run(ctx, KindGet, key, func(ctx context.Context) error {
		var err error
		entry, err = s.inner.Get(ctx, key)
		return err
	})
	if err != nil {
		return store.Entry{}, err
	}
	return entry, nil
}

// List implements store.KV.
func (s *Store) List(ctx context.Context, prefix string) (listing store.Listing, err error) {
	err = s.run(ctx, KindList, prefix, func(ctx context.Context) error {
		var err error
		listing, err = s.inner.List(ctx, prefix)
		return err
	})
	if err != nil {
		return store.Listing{}, err
	}
	return listing, nil
}

// Swap implements store.KV.
func (s *Store) Swap(ctx context.Context, key string, value []byte, expected store.Revision, lease store.LeaseID) (store.Revision, error) {
	// A late write runs after this call has returned, so it must not share the
	// value or the result variable with the caller.
	valueCopy := append([]byte(nil), value...)
	result := make(chan store.Revision, 1)
	err := s.run(ctx, KindSwap, key, func(ctx context.Context) error {
		revision, err := s.inner.Swap(ctx, key, valueCopy, expected, lease)
		result <- revision
		return err
	})
	if err != nil {
		return 0, err
	}
	return <-result, nil
}

// Delete implements store.KV.
func (s *Store) Delete(ctx context.Context, key string, expected store.Revision) error {
	return s.run(ctx, KindDelete, key, func(ctx context.Context) error {
		return s.inner.Delete(ctx, key, expected)
	})
}

// Watch implements store.KV.
func (s *Store) Watch(ctx context.Context, prefix string, after store.Revision) (batch store.Batch, err error) {
	err = s.run(ctx, KindWatch, prefix, func(ctx context.Context) error {
		var err error
		batch, err = s.inner.Watch(ctx, prefix, after)
		return err
	})
	if err != nil {
		return store.Batch{}, err
	}
	return batch, nil
}

// Grant implements store.KV.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	result := make(chan store.LeaseID, 1)
	err := s.run(ctx, KindGrant, "", func(ctx context.Context) error {
		id, err := s.inner.Grant(ctx, ttl)
		result <- id
		return err
	})
	if err != nil {
		return 0, err
	}
	return <-result, nil
}

// KeepAlive implements store.KV.
func (s *Store) KeepAlive(ctx context.Context, lease store.LeaseID) error {
	return s.run(ctx, KindKeepAlive, "", func(ctx context.Context) error {
		return s.inner.KeepAlive(ctx, lease)
	})
}

// Revoke implements store.KV.
func (s *Store) Revoke(ctx context.Context, lease store.LeaseID) error {
	return s.run(ctx, KindRevoke, "", func(ctx context.Context) error {
		return s.inner.Revoke(ctx, lease)
	})
}
