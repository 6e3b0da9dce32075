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
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/reach"
	"github.com/yuccaroute/yuccaroute/edge/serve"
	"github.com/yuccaroute/yuccaroute/proxy/pool"
)

// fleet is VMs that reach each other and their targets by in-memory pipes.
type fleet struct {
	vms []*fixture
	// handlers serve the connections to each address.
	handlers map[string]func(net.Conn)
	mu       sync.Mutex
	paths    map[path]breakage
}

// path is that of a VM to an address.
type path struct {
	vm      int
	address string
}

// breakage is what happens to new connections of a path.
type breakage int

const (
	intact breakage = iota
	// refused: they cannot be opened.
	refused
	// reset: they are reset before anything is sent.
	reset
	// timedOut: they are opened too late.
	timedOut
)

// newFleet returns a fleet of n VMs before the same targets.
func newFleet(t *testing.T, n int, scripts map[*target]script) *fleet {
	f := &fleet{handlers: make(map[string]func(net.Conn)), paths: make(map[path]breakage)}
	var targets []*target
	for s, answer := range scripts {
		targets = append(targets, s)
		f.handlers[s.address()] = func(c net.Conn) { s.serve(c, answer) }
	}
	for i := range n {
		vm := newGatewayOn(t, f.dialerOf(i), targets...)
		f.vms = append(f.vms, vm)
		f.handlers[peerAddress(i)] = func(c net.Conn) { servePipe(c, vm.HandleDelegated) }
	}
	return f
}

func peerAddress(i int) string { return fmt.Sprintf("vm-%d:1", i) }

// setPaths sets what happens to new connections of a VM to targets, and ends those that are idle.
func (f *fleet) setPaths(vm int, how breakage, targets ...*target) {
	f.mu.Lock()
	for _, s := range targets {
		f.paths[path{vm, s.address()}] = how
	}
	f.mu.Unlock()
	f.vms[vm].closePools(nil)
}

func (f *fleet) pathTo(vm int, address string) breakage {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.paths[path{vm, address}]
}

func (f *fleet) dialerOf(vm int) func(time.Duration) pool.Dial {
	dial := func(_ context.Context, address string) (net.Conn, error) {
		how := f.pathTo(vm, address)
		if how == refused {
			return nil, errors.New("connection reset while it is opened")
		}
		if how == timedOut {
			time.Sleep(connectMargin)
			return nil, os.ErrDeadlineExceeded
		}
		near, far := net.Pipe()
		if how == reset {
			far.Close()
			return near, nil
		}
		go f.handlers[address](far)
		return near, nil
	}
	return func(time.Duration) pool.Dial { return dial }
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

// maintain runs the periodic work of a VM until done is closed.
func (f *fixture) maintain(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(100 * time.Millisecond):
		}
		f.options.Balancer.Tick(time.Now())
		health := func(string) string { return "/health" }
		f.Probe(context.Background(), health)
		f.CheckReach(context.Background(), health)
	}
}

// startMaintained returns a fleet of two VMs, of which the second one's periodic work runs until stop is
// called, and its targets.
func startMaintained(t *testing.T) (f *fleet, targets []*target, stop func()) {
	scripts := make(map[*target]script)
	for _, id := range []string{"a", "b", "c"} {
		s := &target{id: id}
		targets = append(targets, s)
		scripts[s] = func(w *bufio.Writer, r *http.Request, _ string) bool {
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Stamp: s\r\nX-Target: %s\r\nContent-Length: 4\r\n\r\ndone", r.Header.Get("X-Id"), id)
			return true
		}
	}
	f = newFleet(t, 2, scripts)
	f.vms[1].setRelays(peerAddress(0))
	done := make(chan struct{})
	var work sync.WaitGroup
	work.Go(func() { f.vms[1].maintain(done) })
	return f, targets, func() {
		close(done)
		work.Wait()
		f.close()
	}
}

// askRepeatedly sends orders to a VM, one each 20 ms, and returns how many were served.
func (f *fixture) askRepeatedly(n int) (served int) {
	for i := range n {
		time.Sleep(20 * time.Millisecond)
		if f.ask(context.Background(), "POST", "/once/x", fmt.Sprint(i), time.Second, "order").Status == http.StatusOK {
			served++
		}
	}
	return served
}

// Guards against a VM that refuses requests for want of a target and does not find that it reaches none, since
// its connections are reset before it has sent anything: each target is then ejected by itself.
func TestConnectionsResetBeforeARequestShowACut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, targets, stop := startMaintained(t)
		vm := f.vms[1]
		vm.askRepeatedly(20)
		f.setPaths(1, reset, targets...)
		vm.askRepeatedly(100)
		if n := vm.askRepeatedly(100); n != 100 {
			t.Errorf("served %d of 100 requests 2 s after the cut: %s", n, vm.logText())
		}
		stop()
	})
}

// Guards against the same where the cut takes the targets one after the other: an answer of the last one voids
// what the others have shown, and they get no requests any more.
func TestCutOfOneTargetAfterTheOtherIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, targets, stop := startMaintained(t)
		vm, last := f.vms[1], targets[2]
		f.setPaths(1, refused, targets[:2]...)
		for range 10 {
			// The connections to the last target are new ones.
			f.setPaths(1, intact, last)
			vm.askRepeatedly(1)
		}
		f.setPaths(1, reset, targets[:2]...)
		f.setPaths(1, refused, last)
		vm.askRepeatedly(1)
		f.setPaths(1, reset, last)
		vm.askRepeatedly(100)
		if n := vm.askRepeatedly(100); n != 100 {
			t.Errorf("served %d of 100 requests 2 s after the cut: %s", n, vm.logText())
		}
		stop()
	})
}

// Guards against VMs that all refuse requests, as each takes its own delay for a cut: connections that a busy VM
// sees too late seem not to be opened in time.
func TestDelayOfABusyVMIsNoCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, targets, stop := startMaintained(t)
		vm := f.vms[1]
		vm.askRepeatedly(20)
		f.setPaths(1, timedOut, targets...)
		var asked sync.WaitGroup
		asked.Go(func() { vm.askRepeatedly(1) })
		for range 7 {
			vm.Busy(time.Now())
			time.Sleep(100 * time.Millisecond)
		}
		f.setPaths(1, intact, targets...)
		vm.Busy(time.Now())
		asked.Wait()
		time.Sleep(time.Second)
		if strings.Contains(vm.logText(), `"phase":"unreached"`) {
			t.Errorf("takes its delay for a cut: %s", vm.logText())
		}
		if n := vm.askRepeatedly(50); n != 50 {
			t.Errorf("served %d of 50 requests", n)
		}
		stop()
	})
}

// Guards against a VM that refuses requests just after it has found that it reaches targets again, since these
// are ejected until they have answered once more.
func TestTargetsThatShowTheReturnGetRequestsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, targets, stop := startMaintained(t)
		vm := f.vms[1]
		vm.setRelays()
		vm.askRepeatedly(20)
		f.setPaths(1, refused, targets...)
		vm.askRepeatedly(100)
		f.setPaths(1, intact, targets...)
		before := len(vm.logText())
		vm.askRepeatedly(100)
		log := vm.logText()[before:]
		if !strings.Contains(log, `"phase":"reached"`) || strings.Contains(log, `"why":"no target"`) {
			t.Errorf("after the cut: %s", log)
		}
		stop()
	})
}

// Guards against requests that a VM refuses for 2 s as the only other one has suspected a cut for a moment, and
// against requests that are sent into a cut.
func TestVMThatSuspectsACutIsAskedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		answers := &target{id: "a"}
		f := newFleet(t, 2, map[*target]script{answers: ok})
		f.vms[1].setRelays(peerAddress(0))
		f.vms[1].cutOff()
		now, id := time.Now(), reach.Group{Service: "s", Region: "r"}
		f.vms[0].reach.NotConnected(now, id, 1)
		f.vms[0].reachChanged(first(f.vms[0].reach.Tick(now.Add(time.Second))))
		if n := f.vms[1].askRepeatedly(5); n != 0 || answers.count() != 0 {
			t.Errorf("%d served, %d at the target while it is suspected", n, answers.count())
		}
		f.vms[0].reachChanged(f.vms[0].reach.Probed(time.Now(), id, reach.Probes{Asked: 1, Connected: 1, Answered: 1}))
		if n := f.vms[1].askRepeatedly(5); n != 5 {
			t.Errorf("%d of 5 served once it is reached: %s", n, f.vms[1].logText())
		}
		f.close()
	})
}
