package keys

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"sync/atomic"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/yuccaroute/yuccaroute/store"
)

const (
	// prefix is the path of the records in the store.
	prefix = "key/"
	// maxAttempts bounds the writes of one record.
	maxAttempts = 3
	// hashBytes is the length of the key's hash in the path of its record.
	hashBytes = 16
)

// Recorder records keys in the store. A conditional write creates the record of a
// key only if none exists, so that only one node succeeds.
type Recorder struct {
	options Options
	lease   *rotatingLease
	writes  *rate.Limiter
	cache   *cache
	claims  atomic.Uint64
}

// New returns a recorder.
func New(o Options) *Recorder {
	o.setDefaults()
	burst := max(1, int(o.WritesPerSecond))
	return &Recorder{
		options: o,
		lease:   &rotatingLease{kv: o.Store, retention: o.Retention},
		writes:  rate.NewLimiter(rate.Limit(o.WritesPerSecond), burst),
		cache:   newCache(o.CacheSize),
	}
}

// Record claims the right to run the request of a key. Errors: ErrDuplicate,
// ErrUnavailable, ErrUnknown (the claim then has its ID, for Release). Concurrent
// requests with the same key share one store call.
//
// The call is made with store.Prompt, so that it does not wait for a timeout
// during a store outage.
func (r *Recorder) Record(ctx context.Context, key Key) (Claim, error) {
	ctx = store.Prompt(ctx)
	entry, first := r.cache.begin(key)
	if !first {
		return Claim{Key: key}, wait(ctx, entry)
	}
	claim, err := r.record(ctx, key)
	r.cache.finish(key, entry, err)
	return claim, err
}

// wait waits for a concurrent call for the same key and returns the error for the
// second request: ErrDuplicate if the first one got the claim.
func wait(ctx context.Context, entry *cacheEntry) error {
	select {
	case <-entry.done:
	case <-ctx.Done():
		return ErrUnavailable
	}
	if entry.err == nil {
		return ErrDuplicate
	}
	return entry.err
}

// ClaimLocally claims the right to run the request of a key without a record. Only
// one request through this node gets it; other nodes are not aware of the claim.
func (r *Recorder) ClaimLocally(key Key) bool { return r.cache.add(key) }

// Release deletes the record of a request that definitely did not run. If the
// store fails, the record stays and a repeat is refused as a duplicate.
func (r *Recorder) Release(ctx context.Context, claim Claim) {
	r.cache.remove(claim.Key)
	revision := claim.Revision
	if revision == 0 {
		revision = r.findOwn(ctx, claim)
	}
	if revision == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, r.options.Timeout)
	defer cancel()
	_ = r.options.Store.Delete(ctx, path(claim.Key), revision)
}

func (r *Recorder) record(ctx context.Context, key Key) (Claim, error) {
	claim := Claim{Key: key, ID: r.newID()}
	if !r.writes.Allow() {
		return claim, ErrUnavailable
	}
	sent := false
	for range maxAttempts {
		revision, err := r.write(ctx, claim)
		switch {
		case err == nil:
			claim.Revision = revision
			return claim, nil
		case store.IsConflict(err):
			// The record may be this claim's own, from a write whose response
			// was lost.
			return r.resolve(ctx, claim, sent)
		case errors.Is(err, store.ErrUnknown):
			sent = true
		case errors.Is(err, store.ErrLeaseGone):
		default:
			return claim, failure(sent)
		}
	}
	return claim, failure(sent)
}

// failure returns ErrUnknown if an earlier attempt may have written the record.
func failure(sent bool) error {
	if sent {
		return ErrUnknown
	}
	return ErrUnavailable
}

// write attempts once to create the record.
func (r *Recorder) write(ctx context.Context, claim Claim) (store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, r.options.Timeout)
	defer cancel()
	lease, err := r.lease.get(ctx)
	if err != nil {
		// Only the lease request failed, so no record was written.
		return 0, store.ErrUnavailable
	}
	revision, err := r.options.Store.Swap(ctx, path(claim.Key), []byte(claim.ID), 0, lease)
	if errors.Is(err, store.ErrLeaseGone) {
		r.lease.drop(lease)
	}
	return revision, err
}

// resolve determines whether the existing record belongs to the claim.
func (r *Recorder) resolve(ctx context.Context, claim Claim, sent bool) (Claim, error) {
	if !sent {
		return claim, ErrDuplicate
	}
	ctx, cancel := context.WithTimeout(ctx, r.options.Timeout)
	defer cancel()
	entry, err := r.options.Store.Get(ctx, path(claim.Key))
	if err != nil {
		return claim, ErrUnknown
	}
	if string(entry.Value) != claim.ID {
		return claim, ErrDuplicate
	}
	claim.Revision = entry.Revision
	return claim, nil
}

// findOwn returns the revision of the claim's record, or 0 if it has none.
func (r *Recorder) findOwn(ctx context.Context, claim Claim) store.Revision {
	found, err := r.resolve(ctx, claim, true)
	if err != nil {
		return 0
	}
	return found.Revision
}

// Owner returns the VM that recorded the key. It reads the store once.
func (r *Recorder) Owner(ctx context.Context, key Key) (vm string, known bool) {
	ctx, cancel := context.WithTimeout(store.Prompt(ctx), r.options.Timeout)
	defer cancel()
	entry, err := r.options.Store.Get(ctx, path(key))
	if err != nil {
		return "", false
	}
	return vmOf(string(entry.Value))
}

// vmOf returns the VM encoded in the ID of a claim.
func vmOf(id string) (vm string, known bool) {
	vm, _, known = strings.Cut(id, "/")
	return vm, known
}

func (r *Recorder) newID() string {
	return fmt.Sprintf("%s/%x/%d", r.options.Node.VM, r.options.Node.Incarnation, r.claims.Add(1))
}

// path returns the store path of a record. The text is hashed because it may hold
// any printable character.
func path(key Key) string {
	sum := sha256.Sum256([]byte(key.Text))
	return prefix + string(key.Account) + "/" + string(key.Service) + "/" + hex.EncodeToString(sum[:hashBytes])
}
