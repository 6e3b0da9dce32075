package identity

import (
	"context"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/store"
)

// StoreKey is where the document of identities is in the store.
const StoreKey = "config/identities"

// DefaultMaxAge is how long a set is used before it is read again: the time in
// which a revoked token loses its rights while the store answers.
const DefaultMaxAge = 30 * time.Second

// Loader reads the document of identities.
type Loader func(ctx context.Context) ([]byte, error)

// FromFile returns a loader of a file.
func FromFile(path string) Loader {
	return func(context.Context) ([]byte, error) { return os.ReadFile(path) }
}

// FromStore returns a loader of the store's document. A missing document reads
// as one without identities.
func FromStore(kv store.KV) Loader {
	return func(ctx context.Context) ([]byte, error) {
		entry, err := kv.Get(ctx, StoreKey)
		if errors.Is(err, store.ErrNotFound) {
			return nil, nil
		}
		return entry.Value, err
	}
}

// Keeper keeps the newest set that could be read. While the document cannot be
// read, or is invalid, the last good set stays in use.
type Keeper struct {
	load   Loader
	maxAge time.Duration
	now    func() time.Time

	mu   sync.Mutex
	set  *Set
	read time.Time
}

// NewKeeper returns a keeper; maxAge 0 takes the default and now nil the
// system's clock.
func NewKeeper(load Loader, maxAge time.Duration, now func() time.Time) *Keeper {
	if maxAge <= 0 {
		maxAge = DefaultMaxAge
	}
	if now == nil {
		now = time.Now
	}
	return &Keeper{load: load, maxAge: maxAge, now: now}
}

// Match returns the identity of a token, nil when there is none. The error
// tells that no set was ever read.
func (k *Keeper) Match(ctx context.Context, token string) (*Identity, error) {
	set, err := k.current(ctx)
	if err != nil {
		return nil, err
	}
	return set.Match(token), nil
}

// current returns the set to use. One caller at a time reads the document; the
// others go on with the set there is.
func (k *Keeper) current(ctx context.Context) (*Set, error) {
	set, due := k.take()
	if !due {
		return set, nil
	}
	fresh, err := k.parse(ctx)
	if err != nil && set == nil {
		k.retrySoon()
		return nil, errors.Wrap(err, "identity: read identities")
	}
	if err != nil {
		return set, nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.set = fresh
	return fresh, nil
}

// take returns the set and whether the caller is the one to read it again.
func (k *Keeper) take() (*Set, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	if k.set != nil && now.Sub(k.read) < k.maxAge {
		return k.set, false
	}
	k.read = now
	return k.set, true
}

// retrySoon makes the next caller read again when there is no set to go on
// with.
func (k *Keeper) retrySoon() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.read = time.Time{}
}

func (k *Keeper) parse(ctx context.Context) (*Set, error) {
	text, err := k.load(ctx)
	if err != nil {
		return nil, err
	}
	return Parse("identities", text)
}
