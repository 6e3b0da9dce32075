package pool

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/proxy/forward"
	"github.com/yuccaroute/yuccaroute/proxy/forward/forwardtest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var errDial = errors.New("dial failed")

// fakeTarget counts the connections opened to it. Each responds to every request
// until closeAll.
type fakeTarget struct {
	opened atomic.Int32
	done   sync.WaitGroup
	mu     sync.Mutex
	open   []net.Conn
	fail   atomic.Bool
}

func (f *fakeTarget) dial(context.Context, string) (net.Conn, error) {
	if f.fail.Load() {
		return nil, errDial
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		return nil, err
	}
	server, err := l.Accept()
	if err != nil {
		return nil, err
	}
	f.opened.Add(1)
	f.mu.Lock()
	f.open = append(f.open, server)
	f.mu.Unlock()
	f.done.Go(func() { serve(server) })
	return client, nil
}

func serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		answer := "HTTP/1.1 200 OK\r\nX-Id: " + q.Header.Get("X-Id") + "\r\nContent-Length: 0\r\n\r\n"
		_, _ = io.WriteString(c, forwardtest.Name(answer, q.Header.Get(result.HeaderExchange)))
	}
}

func (f *fakeTarget) closeAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.open {
		c.Close()
	}
	f.open = nil
}

func newPool(t *testing.T, limit int) (*Pool, *fakeTarget) {
	t.Helper()
	f := &fakeTarget{}
	p := New("target", f.dial, limit)
	t.Cleanup(func() {
		p.Close()
		f.closeAll()
		f.done.Wait()
	})
	return p, f
}

func get(t *testing.T, p *Pool) *forward.Conn {
	t.Helper()
	c, err := p.Get(context.Background(), "")
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func exchange(c *forward.Conn, deadline time.Time) error {
	_, err := c.Exchange(context.Background(), &forward.Request{
		Method: http.MethodGet, URI: "/", Host: "target", Deadline: deadline, MaxResponseBytes: 10,
	})
	return err
}

// Concurrent requests must not exceed the connection limit, even while connections
// are being opened.
func TestConnectionsStayWithinTheLimit(t *testing.T) {
	const limit = 5
	p, f := newPool(t, limit)
	var peak atomic.Int32
	var inUse atomic.Int32
	var done sync.WaitGroup
	for range 40 {
		done.Go(func() {
			for range 20 {
				c, err := p.Get(context.Background(), "")
				if errors.Is(err, ErrFull) {
					continue
				}
				if err != nil {
					t.Error(err)
					return
				}
				n := inUse.Add(1)
				for m := peak.Load(); n > m && !peak.CompareAndSwap(m, n); m = peak.Load() {
				}
				if err := exchange(c, time.Now().Add(time.Minute)); err != nil {
					t.Error(err)
				}
				inUse.Add(-1)
				p.Put(c)
			}
		})
	}
	done.Wait()
	if peak.Load() > limit || f.opened.Load() > limit || p.OpenCount() > limit {
		t.Fatalf("%d in use, %d opened, %d open; at most %d", peak.Load(), f.opened.Load(), p.OpenCount(), limit)
	}
}

// An idle connection closed by the target, as in a restart, must not be reused: the
// request would be lost.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	p, f := newPool(t, 3)
	p.Warm(context.Background(), 2)
	f.closeAll()
	f.done.Wait()
	c := get(t, p)
	if err := exchange(c, time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	p.Put(c)
	if f.opened.Load() != 3 || p.OpenCount() != 1 {
		t.Fatalf("%d opened, %d open", f.opened.Load(), p.OpenCount())
	}
}

// A connection idle for longer than the maximum must not be reused, as the target
// may be closing it.
func TestLongIdleConnectionIsNotUsed(t *testing.T) {
	p, f := newPool(t, 3)
	p.Warm(context.Background(), 2)
	for i := range p.idle {
		p.idle[i].idleSince = time.Now().Add(-DefaultMaxIdle - time.Second)
	}
	p.Put(get(t, p))
	if f.opened.Load() != 3 || p.OpenCount() != 1 {
		t.Fatalf("%d opened, %d open", f.opened.Load(), p.OpenCount())
	}
}

// A connection that fails during an exchange must be closed and no longer count
// toward the limit.
func TestUncleanConnectionIsClosed(t *testing.T) {
	p, f := newPool(t, 1)
	c := get(t, p)
	f.closeAll()
	f.done.Wait()
	if err := exchange(c, time.Now().Add(time.Minute)); err == nil {
		t.Fatal("no error on a closed connection")
	}
	p.Put(c)
	if p.OpenCount() != 0 {
		t.Fatalf("%d open", p.OpenCount())
	}
	if err := exchange(get(t, p), time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
}

// A failed dial must not count toward the limit.
func TestFailedDialIsNotCounted(t *testing.T) {
	p, f := newPool(t, 1)
	f.fail.Store(true)
	for range 3 {
		if _, err := p.Get(context.Background(), ""); !errors.Is(err, errDial) {
			t.Fatalf("error %v", err)
		}
	}
	f.fail.Store(false)
	p.Put(get(t, p))
}

// Returned connections above a lowered limit must be closed, and all of them after
// Close.
func TestLoweredLimitAndClose(t *testing.T) {
	p, _ := newPool(t, 4)
	var held []*forward.Conn
	for range 4 {
		held = append(held, get(t, p))
	}
	p.SetLimit(2)
	for _, c := range held[:3] {
		p.Put(c)
	}
	if p.OpenCount() != 2 {
		t.Fatalf("%d open after the limit was lowered to 2", p.OpenCount())
	}
	p.Close()
	p.Put(held[3])
	if _, err := p.Get(context.Background(), ""); !errors.Is(err, ErrClosed) || p.OpenCount() != 0 {
		t.Fatalf("error %v, %d open", err, p.OpenCount())
	}
}

// send sends a request with an ID over a connection of the pool and returns the connection.
func send(t *testing.T, p *Pool, id string) *forward.Conn {
	t.Helper()
	c, err := p.Get(context.Background(), id)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Put(c)
	_, err = c.Exchange(context.Background(), &forward.Request{
		Method: http.MethodGet, URI: "/", Host: "target", Deadline: time.Now().Add(time.Minute), MaxResponseBytes: 10,
		Dialect: &forward.Dialect{DeadlineField: "X-Deadline", IDField: "X-Id", ID: id},
	})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// A request must not be sent twice over one connection: a late second copy of the first answer would pass for
// the second one.
func TestRequestIsNotSentTwiceOverAConnection(t *testing.T) {
	p, f := newPool(t, 3)
	first := send(t, p, "a")
	if c := send(t, p, "a"); c == first {
		t.Error("the second try went over the same connection")
	}
	if c := send(t, p, "b"); f.opened.Load() != 2 || !c.Carried("a") {
		t.Errorf("%d connections opened, want the two of the first request to be used again", f.opened.Load())
	}
	_, err := first.Exchange(context.Background(), &forward.Request{
		Method: http.MethodGet, URI: "/", Host: "target", Deadline: time.Now().Add(time.Minute),
		Dialect: &forward.Dialect{DeadlineField: "X-Deadline", IDField: "X-Id", ID: "a"},
	})
	var failed *forward.Error
	if !errors.As(err, &failed) || !failed.NotRun() {
		t.Errorf("exchange of a repeated ID: %v, want an error that says it did not run", err)
	}
}

// At the limit a retry must get a connection all the same, in place of an idle one that may not carry it.
func TestRetryReplacesAnIdleConnectionAtTheLimit(t *testing.T) {
	p, f := newPool(t, 1)
	for range 4 {
		send(t, p, "a")
	}
	if f.opened.Load() != 4 || p.OpenCount() != 1 {
		t.Errorf("%d opened, %d open, want 4 and 1", f.opened.Load(), p.OpenCount())
	}
	busy := get(t, p)
	if _, err := p.Get(context.Background(), "a"); !errors.Is(err, ErrFull) {
		t.Errorf("error %v beside a connection in use, want %v", err, ErrFull)
	}
	p.Put(busy)
}

// The memory for the IDs of a connection must have a limit, and no ID may be forgotten while it is open.
func TestConnectionWithALongHistoryIsClosed(t *testing.T) {
	p, f := newPool(t, 1)
	const requests = 2000
	for n := range requests {
		send(t, p, strconv.Itoa(n))
	}
	if n := f.opened.Load(); n < 2 || n > requests/100 {
		t.Errorf("%d connections for %d requests", n, requests)
	}
}
