package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/serve"
	"github.com/yuccaroute/yuccaroute/proxy/pool"
)

// fleet is VMs that reach each other and their targets by in-memory pipes.
type fleet struct {
	vms []*fixture
	// handlers serve the connections to each address.
	handlers map[string]func(net.Conn)
}

// newFleet returns a fleet of n VMs before the same targets.
func newFleet(t *testing.T, n int, scripts map[*target]script) *fleet {
	f := &fleet{handlers: make(map[string]func(net.Conn))}
	var targets []*target
	for s, answer := range scripts {
		targets = append(targets, s)
		f.handlers[s.address()] = func(c net.Conn) { s.serve(c, answer) }
	}
	for i := range n {
		vm := newGatewayOn(t, f.dialer, targets...)
		f.vms = append(f.vms, vm)
		f.handlers[peerAddress(i)] = func(c net.Conn) { servePipe(c, vm.HandleDelegated) }
	}
	return f
}

func peerAddress(i int) string { return fmt.Sprintf("vm-%d:1", i) }

func (f *fleet) dialer(time.Duration) pool.Dial {
	return func(_ context.Context, address string) (net.Conn, error) {
		handle := f.handlers[address]
		if handle == nil {
			return nil, errors.New("nobody listens")
		}
		near, far := net.Pipe()
		go handle(far)
		return near, nil
	}
}

// servePipe passes the requests of a connection to a handler.
func servePipe(c net.Conn, handle serve.Handler) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		a := handle(context.Background(), &serve.Request{
			Method: r.Method, Target: r.RequestURI, Path: r.URL.Path, Host: r.Host, Header: r.Header, Body: body, Arrived: time.Now(),
		})
		if a == nil {
			return
		}
		out := http.Response{StatusCode: a.Status, ProtoMajor: 1, ProtoMinor: 1, Header: a.Header, ContentLength: int64(len(a.Body)), Body: io.NopCloser(bytes.NewReader(a.Body))}
		if out.Write(c) != nil {
			return
		}
	}
}

// runLate runs the periodic work of all VMs, which is late each time, until done is closed.
func (f *fleet) runLate(done <-chan struct{}) {
	const late = 200 * time.Millisecond
	for {
		for _, vm := range f.vms {
			vm.Busy(time.Now())
		}
		select {
		case <-done:
			return
		case <-time.After(late):
		}
	}
}

// close ends all connections, so that the goroutines of the test end.
func (f *fleet) close() {
	for _, vm := range f.vms {
		vm.closePools(nil)
		for _, p := range vm.ownerPools {
			p.Close()
		}
	}
	synctest.Wait()
}

// Guards against requests that are refused because the only VM that reaches their targets is busy, as all
// VMs are on a busy machine.
func TestBusyVMPlacesRequestsThatNoOtherVMTakes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		answer := func(w *bufio.Writer, r *http.Request, body string) bool {
			time.Sleep(20 * time.Millisecond)
			return ok(w, r, body)
		}
		f := newFleet(t, 4, map[*target]script{{id: "a"}: answer, {id: "b"}: answer})
		for _, vm := range f.vms[1:] {
			vm.setRelays(peerAddress(0))
			vm.cutOff()
		}
		done := make(chan struct{})
		var work sync.WaitGroup
		work.Go(func() { f.runLate(done) })
		time.Sleep(time.Second)
		served, asked := 0, 0
		for i := range 100 {
			for _, vm := range f.vms {
				asked++
				if a := vm.ask(context.Background(), "POST", "/once/x", fmt.Sprint(i), time.Second, "order"); a.Status == http.StatusOK {
					served++
				}
			}
		}
		if served != asked {
			t.Errorf("served %d of %d requests", served, asked)
		}
		close(done)
		work.Wait()
		f.close()
	})
}

// Guards against a busy VM that leaves nothing to its own callers, as it places the requests of many VMs.
func TestBusyVMPlacesFewRequestsOfOthersAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		running, most := 0, 0
		count := func(n int) {
			mu.Lock()
			defer mu.Unlock()
			running += n
			most = max(most, running)
		}
		answer := func(w *bufio.Writer, r *http.Request, body string) bool {
			count(1)
			defer count(-1)
			time.Sleep(100 * time.Millisecond)
			return ok(w, r, body)
		}
		scripts := make(map[*target]script)
		for i := range 2 * maxForOthers {
			scripts[&target{id: fmt.Sprint("t", i)}] = answer
		}
		f := newFleet(t, 2, scripts)
		f.vms[1].setRelays(peerAddress(0))
		f.vms[1].cutOff()
		f.vms[0].Busy(time.Now())
		refused := 0
		var all sync.WaitGroup
		for i := range 3 * maxForOthers {
			all.Go(func() {
				a := f.vms[1].ask(context.Background(), "POST", "/once/x", fmt.Sprint(i), time.Second, "order")
				if a.Status != http.StatusOK {
					mu.Lock()
					refused++
					mu.Unlock()
				}
			})
		}
		all.Wait()
		if most != maxForOthers || refused != 2*maxForOthers {
			t.Errorf("%d requests at a time, %d refused; want %d and %d", most, refused, maxForOthers, 2*maxForOthers)
		}
		f.close()
	})
}
