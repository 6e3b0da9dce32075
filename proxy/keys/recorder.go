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
	// prefix is where the records are in the store.
	prefix = "key/"
	// maxTries bounds the writes to find out what became of one.
	maxTries = 3
	// hashBytes is how much of the hash of a key's text names its record.
	hashBytes = 16
)

// Recorder records keys in the store: one write creates the record of a key
// if there is none, which only one of all nodes can do.
type Recorder struct {
	options Options
	lease   *rotatingLease
	writes  *rate.Limiter
	memory  *memory
	count   atomic.Uint64
}

// New returns a recorder.
func New(o Options) *Recorder {
	o.setDefaults()
	burst := max(1, int(o.WritesPerSecond))
	return &Recorder{
		options: o,
		lease:   &rotatingLease{kv: o.Store, keep: o.Retention},
		writes:  rate.NewLimiter(rate.Limit(o.WritesPerSecond), burst),
		memory:  newMemory(o.CacheSize),
	}
}

// Record returns the right to run the work of a key. Errors: ErrDuplicate,
// ErrUnavailable, ErrUnknown (the claim then has its ID, for Release). Requests
// with the same key at the same time share one call of the store.
//
// Its calls are prompt: while the store is out, a request with a key is refused
// or served at once, as the account chose, and does not wait for the store's
// timeout first.
func (r *Recorder) Record(ctx context.Context, key Key) (Claim, error) {
	ctx = store.Prompt(ctx)
	memo, first := r.memory.begin(key)
	if !first {
		return Claim{Key: key}, waitFor(ctx, memo)
	}
	claim, err := r.record(ctx, key)
	r.memory.finish(key, memo, err)
	return claim, err
}

// waitFor returns what the call under way for the same key means for another
// request: if the first gets the right to run, the other must not run.
func waitFor(ctx context.Context, memo *memo) error {
	select {
	case <-memo.done:
	case <-ctx.Done():
		return ErrUnavailable
	}
	if memo.err == nil {
		return ErrDuplicate
	}
	return memo.err
}

// ClaimLocally returns the right to run the work of a key without a record: of
// the requests through this node only one gets it. Others do not know of it.
func (r *Recorder) ClaimLocally(key Key) bool { return r.memory.remember(key) }

// Release frees the key of a request that certainly was not run. If the store
// does not answer the record stays, and a repeat is refused as a duplicate.
func (r *Recorder) Release(ctx context.Context, claim Claim) {
	r.memory.forget(claim.Key)
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
	for range maxTries {
		revision, err := r.write(ctx, claim)
		switch {
		case err == nil:
			claim.Revision = revision
			return claim, nil
		case store.IsConflict(err):
			// The record may be this claim's own, from a write whose answer
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

// failure returns what is known after a call that did not happen.
func failure(sent bool) error {
	if sent {
		return ErrUnknown
	}
	return ErrUnavailable
}

// write makes one attempt.
func (r *Recorder) write(ctx context.Context, claim Claim) (store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, r.options.Timeout)
	defer cancel()
	lease, err := r.lease.get(ctx)
	if err != nil {
		// Only a lease was asked for: no record can come of it.
		return 0, store.ErrUnavailable
	}
	revision, err := r.options.Store.Swap(ctx, path(claim.Key), []byte(claim.ID), 0, lease)
	if errors.Is(err, store.ErrLeaseGone) {
		r.lease.drop(lease)
	}
	return revision, err
}

// resolve tells whose record is there.
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

// findOwn returns the revision of the claim's record, or 0.
func (r *Recorder) findOwn(ctx context.Context, claim Claim) store.Revision {
	found, err := r.resolve(ctx, claim, true)
	if err != nil {
		return 0
	}
	return found.Revision
}

// Owner returns the VM whose record a key has. It takes one read of the store.
func (r *Recorder) Owner(ctx context.Context, key Key) (vm string, known bool) {
	ctx, cancel := context.WithTimeout(store.Prompt(ctx), r.options.Timeout)
	defer cancel()
	entry, err := r.options.Store.Get(ctx, path(key))
	if err != nil {
		return "", false
	}
	return vmOf(string(entry.Value))
}

// vmOf returns the VM within the identifier of a claim.
func vmOf(id string) (vm string, known bool) {
	vm, _, known = strings.Cut(id, "/")
	return vm, known
}

func (r *Recorder) newID() string {
	return fmt.Sprintf("%s/%x/%d", r.options.Node.VM, r.options.Node.Incarnation, r.count.Add(1))
}

// path names the record; the text of a key may hold any printable character.
func path(key Key) string {
	sum := sha256.Sum256([]byte(key.Text))
	return prefix + string(key.Account) + "/" + string(key.Service) + "/" + hex.EncodeToString(sum[:hashBytes])
}
