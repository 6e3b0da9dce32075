package client

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/result"
)

// dropper answers the first request of each connection and closes the
// connection on the second one after it has read it whole. It counts how often
// each token came.
type dropper struct {
	listener net.Listener
	mu       sync.Mutex
	seen     map[string]int
	handlers sync.WaitGroup
}

func startDropper(t *testing.T) *dropper {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &dropper{listener: listener, seen: make(map[string]int)}
	d.handlers.Go(d.accept)
	t.Cleanup(func() {
		listener.Close()
		d.handlers.Wait()
	})
	return d
}

func (d *dropper) accept() {
	for {
		conn, err := d.listener.Accept()
		if err != nil {
			return
		}
		d.handlers.Go(func() { d.serve(conn) })
	}
}

func (d *dropper) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 0; n < 2; n++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := readAll(req); err != nil {
			return
		}
		if req.URL.Path == LookupPath {
			d.answer(conn, fmt.Sprintf(`{"lifetime_ms":60000,"entry_vms":[{"id":"a","address":%q}]}`, d.listener.Addr()))
			continue
		}
		d.mu.Lock()
		d.seen[req.Header.Get(result.HeaderToken)]++
		d.mu.Unlock()
		if n == 0 {
			d.answer(conn, "done")
		}
	}
}

func (d *dropper) answer(conn net.Conn, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nYucca-Result: 0\r\nYucca-Outcome: ran\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func (d *dropper) count(token string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.seen[token]
}

// The HTTP library must not send an order again by itself when a kept connection ends before the
// answer.
func TestOrderIsSentOnceWhenConnectionEnds(t *testing.T) {
	cases := []struct {
		name string
		req  Request
	}{
		{"no body", Request{Method: http.MethodGet}},
		{"key and body", Request{Method: http.MethodPost, Key: "k1", Body: []byte("pallet")}},
		{"key, no body", Request{Method: http.MethodPost, Key: "k2"}},
		{"put", Request{Method: http.MethodPut, Body: []byte("pallet")}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { sendTwoOverOneConnection(t, c.req) })
	}
}

// ample is longer than any exchange of this test takes on a busy machine.
const ample = time.Minute

func sendTwoOverOneConnection(t *testing.T, r Request) {
	d := startDropper(t)
	client, err := New(Options{
		Account: "daehan", Nodes: []string{d.listener.Addr().String()}, Timeout: ample, ConnectTimeout: ample, LookupTimeout: ample,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	r.Service, r.Path = "dealer-desk", "/orders"
	// The look-up takes the first exchange of the first connection, so that
	// the first order meets a kept-alive connection that drops it.
	r.Header = http.Header{result.HeaderToken: {"order"}}
	answer, err := client.Do(context.Background(), r)
	if err == nil || answer.Outcome != result.Unknown {
		t.Errorf("outcome %v, error %v; want unknown and an error", answer.Outcome, err)
	}
	if n := d.count("order"); n != 1 {
		t.Errorf("the order was sent %d times, want 1", n)
	}
}
