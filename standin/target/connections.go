package target

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/lesismal/nbio/nbhttp"
)

// pollClosed is how soon a cancelled request is noticed. nbhttp tells a
// handler nothing of its connection, so it has to be asked.
const pollClosed = 5 * time.Millisecond

// connections knows which connections have brought a request before.
type connections struct {
	seen sync.Map
}

// first reports whether the request is the first of its connection.
func (c *connections) first(w http.ResponseWriter) bool {
	parser := parserOf(w)
	if parser == nil {
		return false
	}
	if _, seen := c.seen.LoadOrStore(parser, true); seen {
		return false
	}
	parser.OnClose(func(p *nbhttp.Parser, _ error) { c.seen.Delete(p) })
	return true
}

func parserOf(w http.ResponseWriter) *nbhttp.Parser {
	if response, ok := w.(*nbhttp.Response); ok {
		return response.Parser
	}
	return nil
}

// closed reports whether the sender has closed the connection.
func closed(w http.ResponseWriter) bool {
	parser := parserOf(w)
	if parser == nil {
		return false
	}
	c := parser.Conn
	if wrapped, ok := c.(*nbhttp.Conn); ok {
		c = wrapped.Conn
	}
	return connClosed(c)
}

func connClosed(c net.Conn) bool {
	asked, ok := c.(interface{ IsClosed() (bool, error) })
	if !ok {
		return false
	}
	is, _ := asked.IsClosed()
	return is
}

// watch returns a context that ends when the sender has closed the connection.
func watch(ctx context.Context, w http.ResponseWriter) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	var poll *time.Timer
	var mu sync.Mutex
	ask := func() {
		mu.Lock()
		defer mu.Unlock()
		if ctx.Err() != nil {
			return
		}
		if closed(w) {
			cancel()
			return
		}
		poll.Reset(pollClosed)
	}
	mu.Lock()
	poll = time.AfterFunc(pollClosed, ask)
	mu.Unlock()
	// The last poll must have ended before nbhttp takes its response back.
	return ctx, func() {
		cancel()
		poll.Stop()
		mu.Lock()
		defer mu.Unlock()
	}
}
