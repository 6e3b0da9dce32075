package client

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// How look-ups are spread over time.
const (
	// Refreshes begin at a random point of this part of the lifetime.
	refreshFrom = 0.6
	refreshTo   = 0.9
	// Pauses after a look-up that no node answered.
	minLookupPause = 500 * time.Millisecond
	maxLookupPause = 1500 * time.Millisecond
	// minLifetime bounds the rate of look-ups whatever a node answers.
	minLifetime = time.Second
)

// heldEntries is one look-up answer and when to ask again. Immutable.
type heldEntries struct {
	entries   Entries
	refreshAt time.Time
}

// entryCache keeps the entry VMs. Readers load one pointer; one look-up at a
// time runs in the background.
type entryCache struct {
	ctx       context.Context
	options   Options
	transport http.RoundTripper
	jitter    *jitter
	current   atomic.Pointer[heldEntries]
	mu        sync.Mutex
	pending   *pendingLookup
	notBefore time.Time
	closed    bool
	running   sync.WaitGroup
}

// pendingLookup is a look-up in progress; done is closed at its end.
type pendingLookup struct {
	done chan struct{}
	err  error
}

func newEntryCache(ctx context.Context, options Options, transport http.RoundTripper, j *jitter) *entryCache {
	return &entryCache{ctx: ctx, options: options, transport: transport, jitter: j}
}

func (c *entryCache) held() *heldEntries { return c.current.Load() }

// close ends look-ups and returns when none runs.
func (c *entryCache) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.running.Wait()
}

// get returns the entry VMs. While it holds some it never waits: an answer
// past its lifetime is used until a node gives a newer one, as entry VMs go on
// serving callers that hold an old answer.
func (c *entryCache) get(ctx context.Context) ([]Entry, error) {
	held := c.current.Load()
	if held != nil {
		if !time.Now().Before(held.refreshAt) {
			c.begin()
		}
		return held.entries.VMs, nil
	}
	pending := c.begin()
	if pending == nil {
		return nil, errors.New("no node answered the look-up")
	}
	select {
	case <-pending.done:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if held = c.current.Load(); held != nil {
		return held.entries.VMs, nil
	}
	return nil, pending.err
}

// refresh asks again soon, as an entry VM in use has failed.
func (c *entryCache) refresh() { c.begin() }

// begin starts a look-up unless one runs. It returns nil during the pause
// after a look-up.
func (c *entryCache) begin() *pendingLookup {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending != nil {
		return c.pending
	}
	if c.closed || time.Now().Before(c.notBefore) {
		return nil
	}
	p := &pendingLookup{done: make(chan struct{})}
	c.pending = p
	c.running.Go(func() { c.run(p) })
	return p
}

func (c *entryCache) run(p *pendingLookup) {
	entries, err := c.ask()
	if err == nil {
		c.current.Store(c.keep(entries))
	}
	p.err = err
	c.mu.Lock()
	c.pending = nil
	c.notBefore = time.Now().Add(c.jitter.between(minLookupPause, maxLookupPause))
	c.mu.Unlock()
	close(p.done)
}

func (c *entryCache) keep(entries Entries) *heldEntries {
	lifetime := max(entries.Lifetime(), minLifetime)
	from := time.Duration(refreshFrom * float64(lifetime))
	to := time.Duration(refreshTo * float64(lifetime))
	return &heldEntries{entries: entries, refreshAt: time.Now().Add(c.jitter.between(from, to))}
}
