package spread

import (
	"context"
	"time"
)

// Source reads items from the store. The service runs it only while the node
// acts as a watcher, and restarts it after a jittered pause when it fails.
type Source interface {
	// Run calls emit for every existing item and then for every change, until
	// the context ends or the store cannot be read. A nil body means that the
	// key was deleted at this version. emit does not block and accepts known or
	// older states.
	Run(ctx context.Context, emit func(key string, epoch, sequence uint64, body []byte)) error
}

// Syncer is a Source that reports when it has read the whole store. Other
// sources count as synced after the first item, so a node with an empty store
// would never become ready.
type Syncer interface {
	// Synced reports whether the last Run has emitted all existing items.
	Synced() bool
}

// LastReader is a Source that reports when the store last responded. For other
// sources the store counts as read until Run returns.
type LastReader interface {
	// LastRead returns the zero time if the store has not responded yet.
	LastRead() time.Time
}
