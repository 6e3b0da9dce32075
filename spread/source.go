package spread

import (
	"context"
	"time"
)

// Source reads items from the store. The service runs it only while the node
// is a watcher, and again after a jittered pause when it fails.
type Source interface {
	// Run calls emit for every item there is and then for every change, until
	// the context ends or the store can't be read. A nil body tells that the
	// key was deleted at this version. Emit does not block and may be called
	// with states that are known or older.
	Run(ctx context.Context, emit func(key string, epoch, sequence uint64, body []byte)) error
}

// Syncer is a Source that knows when it has read everything once. Of others
// the first item counts as such, so with an empty store no node gets ready.
type Syncer interface {
	// Synced reports whether the last Run has emitted all there was.
	Synced() bool
}

// LastReader is a Source that knows when the store last answered it. Of others
// the store counts as read until Run returns.
type LastReader interface {
	// LastRead is zero when the store has not answered yet.
	LastRead() time.Time
}
