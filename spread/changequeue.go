package spread

// changeQueue holds the keys that changed since the last take, each once, which
// bounds the memory used for a slow receiver. The hub's lock guards it.
type changeQueue struct {
	keys   []string
	queued map[string]struct{}
	// ready has a buffer of one signal.
	ready chan struct{}
}

func newChangeQueue() *changeQueue {
	return &changeQueue{queued: map[string]struct{}{}, ready: make(chan struct{}, 1)}
}

func (q *changeQueue) add(keys ...string) {
	for _, key := range keys {
		if _, ok := q.queued[key]; ok {
			continue
		}
		q.queued[key] = struct{}{}
		q.keys = append(q.keys, key)
	}
	select {
	case q.ready <- struct{}{}:
	default:
	}
}
