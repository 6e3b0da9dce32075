package source_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/config/changelog"
	"github.com/yuccaroute/yuccaroute/config/source"
	"github.com/yuccaroute/yuccaroute/store"
)

type item struct {
	key     string
	version changelog.Version
	body    string
	deleted bool
}

// sink keeps what a source emits, as the nodes behind it would, and reports
// accounts that go back.
type sink struct {
	t      *testing.T
	mu     sync.Mutex
	newest map[string]item
	last   item
}

func newSink(t *testing.T) *sink { return &sink{t: t, newest: map[string]item{}} }

func (s *sink) emit(key string, epoch, sequence uint64, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it := item{key, changelog.Version{Epoch: epoch, Sequence: sequence}, string(body), body == nil}
	old, known := s.newest[key]
	if known && old.version == it.version && old != it {
		s.t.Errorf("two states of %s at %s", key, it.version)
	}
	if !known || old.version.Less(it.version) {
		s.newest[key] = it
	}
	if strings.HasPrefix(key, source.KeyPrefix) {
		s.last = it
	}
}

func (s *sink) lastAccount() item {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last
}

func (s *sink) items() map[string]item {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]item{}
	for key, it := range s.newest {
		out[key] = it
	}
	return out
}

// replaceable is a store whose content can be replaced, as by a restore.
type replaceable struct {
	mu sync.Mutex
	kv store.KV
}

func (r *replaceable) replace(kv store.KV) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kv = kv
}

func (r *replaceable) inner() store.KV {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.kv
}

func (r *replaceable) Get(ctx context.Context, key string) (store.Entry, error) {
	return r.inner().Get(ctx, key)
}

func (r *replaceable) List(ctx context.Context, prefix string) (store.Listing, error) {
	return r.inner().List(ctx, prefix)
}

func (r *replaceable) Swap(ctx context.Context, key string, value []byte, expected store.Revision, lease store.LeaseID) (store.Revision, error) {
	return r.inner().Swap(ctx, key, value, expected, lease)
}

func (r *replaceable) Delete(ctx context.Context, key string, expected store.Revision) error {
	return r.inner().Delete(ctx, key, expected)
}

func (r *replaceable) Watch(ctx context.Context, prefix string, after store.Revision) (store.Batch, error) {
	return r.inner().Watch(ctx, prefix, after)
}

func (r *replaceable) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	return r.inner().Grant(ctx, ttl)
}

func (r *replaceable) KeepAlive(ctx context.Context, lease store.LeaseID) error {
	return r.inner().KeepAlive(ctx, lease)
}

func (r *replaceable) Revoke(ctx context.Context, lease store.LeaseID) error {
	return r.inner().Revoke(ctx, lease)
}

// follow runs a source as a watching node does: again after a pause when it
// fails.
func follow(ctx context.Context, src *source.Source, emit source.Emit) {
	for ctx.Err() == nil {
		_ = src.Run(ctx, emit)
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
}
