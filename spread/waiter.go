package spread

// waiter holds the keys that changed since it last took them. It holds each
// key once, so a receiver that is slow or hangs costs at most the number of
// keys and then gets the latest state of each. The hub's lock guards it.
type waiter struct {
	keys   []string
	marked map[string]struct{}
	// ready has room for one signal.
	ready chan struct{}
}

func newWaiter() *waiter {
	return &waiter{marked: map[string]struct{}{}, ready: make(chan struct{}, 1)}
}

func (w *waiter) mark(keys ...string) {
	for _, key := range keys {
		if _, ok := w.marked[key]; ok {
			continue
		}
		w.marked[key] = struct{}{}
		w.keys = append(w.keys, key)
	}
	select {
	case w.ready <- struct{}{}:
	default:
	}
}
