package spread

import "context"

// Source reads items from the store. The service runs it only while the node
// is a watcher, and again after a jittered pause when it fails.
type Source interface {
	// Run calls emit for every item there is and then for every change, until
	// the context ends or the store can't be read. A nil body tells that the
	// key was deleted at this version. Emit does not block and may be called
	// with states that are known or older.
	Run(ctx context.Context, emit func(key string, epoch, sequence uint64, body []byte)) error
}
