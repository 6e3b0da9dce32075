// Package client is the library for callers of yuccaroute. It asks any node
// which entry VMs to use, keeps the answer for its lifetime, sends each
// request to one entry VM and reports truthfully whether it ran.
//
// A request goes to a second entry VM only when the first certainly did not
// run it, or when the caller declared it idempotent. The HTTP library below
// never sends a request twice by itself; see onceBody.
package client

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/api/retrybudget"
)

// maxSavedRetries bounds the retries saved up in quiet times; a new client has
// them in hand.
const maxSavedRetries = 10

// Client sends requests for one client account. It is safe for use by several
// goroutines. Close it when done.
type Client struct {
	options   Options
	transport http.RoundTripper
	entries   *entryCache
	holds     *holds
	jitter    *jitter
	budget    *retrybudget.Budget
	closeOnce sync.Once
	stop      context.CancelFunc
}

// New returns a client. It sends nothing until the first request. It fails
// when an option is missing or out of range.
func New(options Options) (*Client, error) {
	if err := options.complete(); err != nil {
		return nil, errors.Wrap(err, "client: options")
	}
	return newClient(options, newTransport(options)), nil
}

func newClient(options Options, transport http.RoundTripper) *Client {
	ctx, stop := context.WithCancel(context.Background())
	random := rand.New(rand.NewPCG(options.Seed, options.Seed^0x9e3779b97f4a7c15))
	j := &jitter{random: random}
	return &Client{
		options:   options,
		transport: transport,
		entries:   newEntryCache(ctx, options, transport, j),
		holds:     newHolds(j),
		jitter:    j,
		budget:    retrybudget.New(maxSavedRetries, maxSavedRetries),
		stop:      stop,
	}
}

// Close ends background look-ups and closes idle connections. Requests in
// progress are not cut.
func (c *Client) Close() {
	c.closeOnce.Do(func() {
		c.stop()
		c.entries.close()
		if t, ok := c.transport.(interface{ CloseIdleConnections() }); ok {
			t.CloseIdleConnections()
		}
	})
}

// Entries returns the entry VMs last looked up, in the order they are used,
// and false when none were looked up yet.
func (c *Client) Entries() (Entries, bool) {
	held := c.entries.held()
	if held == nil {
		return Entries{}, false
	}
	return held.entries, true
}
