// Package store is the platform's key-value service as the system sees it:
// compare-and-swap, leases and watches. The service is small and has outages,
// and a write can take effect although its answer is lost, so every write has
// three outcomes and the error types keep them apart.
package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Revision orders all writes of the service; it grows by at least one a write.
type Revision uint64

// LeaseID names a lease.
type LeaseID uint64

// Entry is one key at the revision of its last write.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision
	Lease    LeaseID
}

// Listing is a read of all keys under a prefix.
type Listing struct {
	Entries []Entry
	// At is the service's revision when the read began. Entries may be newer, and
	// a watch from At tells of their changes once more.
	At Revision
}

// Event is one change seen by a watch.
type Event struct {
	Entry   Entry
	Deleted bool
}

// Batch is what a watch returns: changes after the revision asked for, in
// order. Reset means that the service no longer has them all and the watcher
// must list again.
type Batch struct {
	Events []Event
	At     Revision
	Reset  bool
}

// MaxValueBytes is the largest value the service takes.
const MaxValueBytes = 1 << 20

// ErrNotFound tells that the key does not exist.
var ErrNotFound = errors.New("store: key not found")

// ErrUnavailable tells that the service did not take the call: a write did
// not happen and will not.
var ErrUnavailable = errors.New("store: unavailable")

// ErrUnknown tells that the answer to a write was lost: it may have taken
// effect, or take effect later.
var ErrUnknown = errors.New("store: outcome unknown")

// ErrLeaseGone tells that the lease lapsed or was never granted.
var ErrLeaseGone = errors.New("store: lease gone")

// ErrTooLarge tells that the value is larger than MaxValueBytes: the write did
// not happen.
var ErrTooLarge = errors.New("store: value too large")

// ConflictError tells that a compare-and-swap did not happen because the key
// was at another revision.
type ConflictError struct {
	Key string
	// Current is the revision found, 0 when the key does not exist.
	Current Revision
}

// Error implements error.
func (e *ConflictError) Error() string {
	return "store: conflict on " + e.Key
}

// IsConflict reports whether err is a ConflictError.
func IsConflict(err error) bool {
	var c *ConflictError
	return errors.As(err, &c)
}

// KV is the service. All methods are safe for use by several goroutines. The
// context bounds each call; a write whose context ends after it was sent
// returns ErrUnknown.
type KV interface {
	// Get returns the entry or ErrNotFound or ErrUnavailable.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all entries whose key starts with prefix, sorted by key, or
	// ErrUnavailable.
	List(ctx context.Context, prefix string) (Listing, error)
	// Swap writes value if the key is at revision expected (0: does not
	// exist) and binds it to the lease unless that is 0. Errors: a
	// ConflictError, ErrLeaseGone, ErrTooLarge, ErrUnavailable, ErrUnknown.
	Swap(ctx context.Context, key string, value []byte, expected Revision, lease LeaseID) (Revision, error)
	// Delete removes the key if it is at revision expected. Errors: a
	// ConflictError, ErrNotFound for revision 0, ErrUnavailable, ErrUnknown.
	Delete(ctx context.Context, key string, expected Revision) error
	// Watch waits until there is a change under prefix after the revision
	// given, or until the service's waiting time ends (an empty batch). Its
	// only error is ErrUnavailable.
	Watch(ctx context.Context, prefix string, after Revision) (Batch, error)
	// Grant makes a lease; keys bound to it are removed when it lapses. Errors:
	// ErrUnavailable, ErrUnknown; an unknown lease lapses by itself.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive extends the lease by its full time, counted at the service.
	// Errors: ErrLeaseGone, ErrUnavailable, ErrUnknown.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends the lease and removes its keys. Errors as of KeepAlive.
	Revoke(ctx context.Context, lease LeaseID) error
}
