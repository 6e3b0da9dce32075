package keys

import "sync"

// cache holds the keys that the node is recording and those it recorded or claimed
// last. It saves store calls for repeated requests, and detects repeats through the
// same node during a store outage.
type cache struct {
	mu      sync.Mutex
	entries map[Key]*cacheEntry
	// order holds the finished keys in eviction order.
	order []Key
	max   int
}

// cacheEntry is the state of one key. done is closed when the call that records
// the key has returned; err is its result.
type cacheEntry struct {
	done chan struct{}
	err  error
}

func newCache(max int) *cache {
	return &cache{entries: make(map[Key]*cacheEntry), max: max}
}

// begin returns the entry of the key and whether it is new. The caller must call
// finish for a new entry.
func (c *cache) begin(key Key) (entry *cacheEntry, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if existing := c.entries[key]; existing != nil {
		return existing, false
	}
	entry = newCacheEntry()
	c.entries[key] = entry
	return entry, true
}

// finish stores the result. A key that was not recorded is removed.
func (c *cache) finish(key Key, entry *cacheEntry, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry.err = err
	close(entry.done)
	if err != nil {
		delete(c.entries, key)
		return
	}
	c.retain(key)
}

// add stores the key of a request that is sent without a record. It returns false
// if the key is already present.
func (c *cache) add(key Key) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entries[key] != nil {
		return false
	}
	entry := newCacheEntry()
	close(entry.done)
	c.entries[key] = entry
	c.retain(key)
	return true
}

// remove deletes a key whose request did not run.
func (c *cache) remove(key Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.entries, key)
}

// retain appends the key to the eviction order and evicts the oldest one if
// needed. It must be called with mu held.
func (c *cache) retain(key Key) {
	c.order = append(c.order, key)
	if len(c.order) <= c.max {
		return
	}
	delete(c.entries, c.order[0])
	c.order = c.order[1:]
}

func newCacheEntry() *cacheEntry { return &cacheEntry{done: make(chan struct{})} }
