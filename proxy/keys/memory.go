package keys

import "sync"

// memory is what the node itself knows of keys: those being recorded and the
// last ones it sent. It spares the store repeated calls, and finds repeats
// through the same node while the store is out.
type memory struct {
	mu    sync.Mutex
	known map[Key]*memo
	// sent holds the keys in the order in which they are forgotten.
	sent []Key
	max  int
}

// memo is one key. done is closed when the call that records it has ended;
// err is its result.
type memo struct {
	done chan struct{}
	err  error
}

func newMemory(max int) *memory {
	return &memory{known: make(map[Key]*memo), max: max}
}

// begin returns a new memo to finish, or the one that is there already.
func (m *memory) begin(key Key) (memo *memo, first bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if old := m.known[key]; old != nil {
		return old, false
	}
	memo = newMemo()
	m.known[key] = memo
	return memo, true
}

// finish stores the result. A key that was not recorded is forgotten.
func (m *memory) finish(key Key, memo *memo, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	memo.err = err
	close(memo.done)
	if err != nil {
		delete(m.known, key)
		return
	}
	m.keep(key)
}

// remember stores a key that is to be sent without a record. It returns false
// if the key is there already.
func (m *memory) remember(key Key) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.known[key] != nil {
		return false
	}
	memo := newMemo()
	close(memo.done)
	m.known[key] = memo
	m.keep(key)
	return true
}

// forget drops a key whose request did not run.
func (m *memory) forget(key Key) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.known, key)
}

// keep is called with the lock held.
func (m *memory) keep(key Key) {
	m.sent = append(m.sent, key)
	if len(m.sent) <= m.max {
		return
	}
	delete(m.known, m.sent[0])
	m.sent = m.sent[1:]
}

func newMemo() *memo { return &memo{done: make(chan struct{})} }
