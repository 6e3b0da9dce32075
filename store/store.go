// Package store defines the interface to the platform's key-value service:
// compare-and-swap, leases and watches. A write may be applied although its
// response is lost, so a write has three outcomes, which the errors tell apart:
// applied, not applied and unknown.
package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// LeaseID identifies a lease; 0 means none.
type LeaseID uint64

// Entry is a key and its value at the revision of its last write.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision
	Lease    LeaseID
}

// Listing is the result of reading all keys under a prefix.
type Listing struct {
	Entries []Entry
	// At is the service's revision when the read began. Entries may be newer; a
	// watch from At then returns their changes again.
	At Revision
}

// Event is one change returned by a watch.
type Event struct {
	Entry   Entry
	Deleted bool
}

// Batch is the result of a watch: the changes after the requested revision, in
// order, up to revision At. Reset means that the service no longer has all of
// them and the watcher must list again.
type Batch struct {
	Events []Event
	At     Revision
	Reset  bool
}

// MaxValueBytes is the largest value that the service accepts.
const MaxValueBytes = 1 << 20

// ErrNotFound means that the key does not exist.
var ErrNotFound = errors.New("store: key not found")

// ErrUnavailable means that the service did not accept the call: a write was not
// applied and will not be.
var ErrUnavailable = errors.New("store: unavailable")

// ErrUnknown means that the response to a write was lost: the write may have been
// applied, may be applied later, or never.
var ErrUnknown = errors.New("store: outcome unknown")

// ErrLeaseGone means that the lease expired, was revoked or was never granted.
var ErrLeaseGone = errors.New("store: lease gone")

// ErrTooLarge means that the value is larger than MaxValueBytes: the write was
// not applied.
var ErrTooLarge = errors.New("store: value too large")

// ConflictError means that a compare-and-swap was not applied because the key
// was at another revision.
type ConflictError struct {
	Key string
	// Current is the key's revision, 0 when the key does not exist.
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

// KV is the key-value service. All methods are safe for concurrent use. The
// context bounds each call; a write whose context ends after it was sent returns
// ErrUnknown.
type KV interface {
	// Get returns the entry. Errors: ErrNotFound, ErrUnavailable.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all entries whose key starts with prefix, sorted by key. Its
	// only error is ErrUnavailable.
	List(ctx context.Context, prefix string) (Listing, error)
	// Swap writes value if the key is at revision expected (0: the key does not
	// exist), binds the key to the lease unless that is 0 and returns the new
	// revision. Errors: a ConflictError, ErrLeaseGone, ErrTooLarge,
	// ErrUnavailable, ErrUnknown.
	Swap(ctx context.Context, key string, value []byte, expected Revision, lease LeaseID) (Revision, error)
	// Delete deletes the key if it is at revision expected. Errors: a
	// ConflictError, ErrNotFound for revision 0, ErrUnavailable, ErrUnknown.
	Delete(ctx context.Context, key string, expected Revision) error
	// Watch waits for changes under prefix after the given revision. It returns
	// an empty batch when the service's watch timeout ends first. Its only error
	// is ErrUnavailable.
	Watch(ctx context.Context, prefix string, after Revision) (Batch, error)
	// Grant creates a lease; keys bound to it are deleted when it expires. Errors:
	// ErrUnavailable, ErrUnknown; a lease whose response was lost expires unused.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive resets the lease to its full TTL, counted by the service. Errors:
	// ErrLeaseGone, ErrUnavailable, ErrUnknown.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends the lease and deletes its keys. Errors as for KeepAlive.
	Revoke(ctx context.Context, lease LeaseID) error
}
