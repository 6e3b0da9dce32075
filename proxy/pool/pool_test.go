package pool

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/yuccaroute/yuccaroute/proxy/forward"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var errDial = errors.New("no way")

// farm counts the connections that a pool opens to it. Each answers every
// request until closeAll.
type farm struct {
	opened atomic.Int32
	done   sync.WaitGroup
	mu     sync.Mutex
	open   []net.Conn
	fail   atomic.Bool
}

func (f *farm) dial(context.Context, string) (net.Conn, error) {
	if f.fail.Load() {
		return nil, errDial
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer l.Close()
	near, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		return nil, err
	}
	far, err := l.Accept()
	if err != nil {
		return nil, err
	}
	f.opened.Add(1)
	f.mu.Lock()
	f.open = append(f.open, far)
	f.mu.Unlock()
	f.done.Go(func() { answerAll(far) })
	return near, nil
}

func answerAll(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

func (f *farm) closeAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.open {
		c.Close()
	}
	f.open = nil
}

func newPool(t *testing.T, limit int) (*Pool, *farm) {
	t.Helper()
	f := &farm{}
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
	c, err := p.Get(context.Background())
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

// Many requests come at once. The node never holds more connections to a target
// than its part, also while some are being opened.
func TestConnectionsStayWithinTheBound(t *testing.T) {
	const limit = 5
	p, f := newPool(t, limit)
	var most atomic.Int32
	var inUse atomic.Int32
	var done sync.WaitGroup
	for range 40 {
		done.Go(func() {
			for range 20 {
				c, err := p.Get(context.Background())
				if errors.Is(err, ErrFull) {
					continue
				}
				if err != nil {
					t.Error(err)
					return
				}
				n := inUse.Add(1)
				for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
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
	if most.Load() > limit || f.opened.Load() > limit || p.Open() > limit {
		t.Fatalf("%d in use, %d opened, %d open; at most %d", most.Load(), f.opened.Load(), p.Open(), limit)
	}
}

// A target closed its idle connections, as after a restart. The next request
// must get a new connection: one written to a closed one would be lost.
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
	if f.opened.Load() != 3 || p.Open() != 1 {
		t.Fatalf("%d opened, %d open", f.opened.Load(), p.Open())
	}
}

// A connection has been idle for so long that the target may be closing it just
// now. An order sent on it could be lost; it gets a new connection.
func TestLongIdleConnectionIsNotUsed(t *testing.T) {
	p, f := newPool(t, 3)
	p.Warm(context.Background(), 2)
	for i := range p.idle {
		p.idle[i].since = time.Now().Add(-MaxIdle - time.Second)
	}
	p.Put(get(t, p))
	if f.opened.Load() != 3 || p.Open() != 1 {
		t.Fatalf("%d opened, %d open", f.opened.Load(), p.Open())
	}
}

// The target is closed during an exchange. The connection is not kept, and its
// place is free.
func TestUncleanConnectionIsClosed(t *testing.T) {
	p, f := newPool(t, 1)
	c := get(t, p)
	f.closeAll()
	f.done.Wait()
	if err := exchange(c, time.Now().Add(time.Minute)); err == nil {
		t.Fatal("no error on a closed connection")
	}
	p.Put(c)
	if p.Open() != 0 {
		t.Fatalf("%d open", p.Open())
	}
	if err := exchange(get(t, p), time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
}

// A failed dialling leaves its place to the next.
func TestFailedDialFreesItsPlace(t *testing.T) {
	p, f := newPool(t, 1)
	f.fail.Store(true)
	for range 3 {
		if _, err := p.Get(context.Background()); !errors.Is(err, errDial) {
			t.Fatalf("error %v", err)
		}
	}
	f.fail.Store(false)
	p.Put(get(t, p))
}

// More nodes have joined and the part of each is smaller. Connections over it
// are closed as they come back, and none is left after Close.
func TestSmallerBoundAndClose(t *testing.T) {
	p, _ := newPool(t, 4)
	var held []*forward.Conn
	for range 4 {
		held = append(held, get(t, p))
	}
	p.SetLimit(2)
	for _, c := range held[:3] {
		p.Put(c)
	}
	if p.Open() != 2 {
		t.Fatalf("%d open after the bound was lowered to 2", p.Open())
	}
	p.Close()
	p.Put(held[3])
	if _, err := p.Get(context.Background()); !errors.Is(err, ErrClosed) || p.Open() != 0 {
		t.Fatalf("error %v, %d open", err, p.Open())
	}
}
