package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/edge/catalog"
	"github.com/yuccaroute/yuccaroute/edge/serve"
	"github.com/yuccaroute/yuccaroute/edge/site"
)

// ownedByOthers has three other VMs at one address own most keys.
func (f *fixture) ownedByOthers(peer string) {
	var vms []site.VM
	for _, name := range []string{"b", "c", "d"} {
		vms = append(vms, site.VM{Name: name, PeerAddress: peer})
	}
	f.options.Owners.SetVMs(vms, func(site.VM) bool { return true })
}

// otherKey is a key that another VM owns.
func (f *fixture) otherKey(t *testing.T) string {
	t.Helper()
	for i := range 100 {
		key := fmt.Sprint("key", i)
		j := &job{in: f.keyed("GET", "/safe/x", "0", key, time.Second, "")}
		j.route = f.table.Load().Match(j.in.Host, j.in.Path)
		f.prepare(j)
		if f.ownerOf(j) != nil {
			return key
		}
	}
	t.Fatal("no key has another owner")
	return ""
}

func (f *fixture) keyed(method, path, id, key string, deadline time.Duration, body string) *serve.Request {
	return &serve.Request{
		Method: method, Target: path, Path: path, Host: "h:80", Body: []byte(body), Arrived: time.Now(),
		Header: http.Header{"X-Id": {id}, "X-Object": {key}, "X-Deadline": {fmt.Sprint(deadline.Milliseconds())}},
	}
}

// listenForOthers serves the requests that other VMs pass on.
func (f *fixture) listenForOthers(t *testing.T) string {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	s, err := serve.Start(serve.Options{
		Address: "127.0.0.1:0", Handler: f.HandleDelegated, Logger: logrus.NewEntry(log),
		Limits: func() serve.Limits {
			return serve.Limits{HeaderBytes: 8192, BodyBytes: 1 << 20, HeaderTime: time.Second, IdleTime: time.Minute}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s.Address()
}

// Callers ask one VM for a key that another one owns. The owner sends the request, the
// caller gets its answer whole, and neither caller nor target sees the fields between VMs.
func TestOwnerDecidesOnItsKeys(t *testing.T) {
	var seen http.Header
	s := startTarget(t, "a", func(w *bufio.Writer, r *http.Request, body string) bool {
		seen = r.Header
		return ok(w, r, body)
	})
	asked, owner := newGateway(t, s), newGateway(t, s)
	asked.ownedByOthers(owner.listenForOthers(t))
	a := asked.Handle(context.Background(), asked.keyed("POST", "/once/x", "7", asked.otherKey(t), time.Second, "order"))
	if a.Status != http.StatusOK || string(a.Body) != "done" || a.Header.Get("X-Stamp") != "s" || a.Header.Get("X-Id") != "7" {
		t.Fatalf("%d %q %v", a.Status, a.Body, a.Header)
	}
	for _, h := range []http.Header{a.Header, seen} {
		for name := range h {
			if strings.HasPrefix(name, "Yucca-") {
				t.Errorf("field %s left the VMs", name)
			}
		}
	}
	if s.count() != 1 || s.bodies[0] != "order" {
		t.Errorf("%d requests, bodies %v", s.count(), s.bodies)
	}
	if !strings.Contains(asked.written(), "gateway: request delegated") || !strings.Contains(owner.written(), "gateway: request ended") {
		t.Errorf("logs of the VM that was asked %s, of the owner %s", asked.written(), owner.written())
	}
}

// An owner refuses a request for want of slots. The caller gets that refusal with its time.
func TestRefusalOfTheOwnerReachesTheCaller(t *testing.T) {
	asked, owner := newGateway(t, startTarget(t, "a", ok)), newGateway(t, startTarget(t, "a", shed))
	asked.ownedByOthers(owner.listenForOthers(t))
	a := asked.Handle(context.Background(), asked.keyed("POST", "/once/x", "7", asked.otherKey(t), time.Second, ""))
	if a.Status != http.StatusServiceUnavailable || a.Header.Get("Retry-After") == "" {
		t.Errorf("%d %v", a.Status, a.Header)
	}
}

// A new configuration reaches the owner of a key before the VM that its callers ask, or
// after it. The VM would seem to go back to the old one; it decides itself meanwhile.
func TestOwnerAtAnotherVersionDeclines(t *testing.T) {
	s := startTarget(t, "a", ok)
	asked, owner := newGateway(t, s), newGateway(t, s)
	asked.ownedByOthers(owner.listenForOthers(t))
	key := asked.otherKey(t)
	owner.SetView(&catalog.View{Config: &site.Config{Version: 4}}, time.Now())
	a := asked.Handle(context.Background(), asked.keyed("GET", "/safe/x", "7", key, time.Second, ""))
	if a.Status != http.StatusOK || s.count() != 1 {
		t.Errorf("%d, %d requests at the target", a.Status, s.count())
	}
	if strings.Contains(asked.written(), "request delegated") {
		t.Error("an owner at another version decided")
	}
}

// peerOf is a peer that treats each connection by a function.
func peerOf(t *testing.T, treat func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go treat(c)
		}
	}()
	return l.Addr().String()
}

// An owner dies with a request. It may have run, so that an order is not sent again and
// its caller learns that the outcome is unknown; a look-up is sent once more.
func TestOwnerThatDiesWithARequest(t *testing.T) {
	s := startTarget(t, "a", ok)
	asked := newGateway(t, s)
	asked.ownedByOthers(peerOf(t, func(c net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(c))
		c.Close()
	}))
	key := asked.otherKey(t)
	a := asked.Handle(context.Background(), asked.keyed("POST", "/once/x", "7", key, time.Second, ""))
	if a.Status != http.StatusBadGateway || s.count() != 0 {
		t.Errorf("order: %d, %d requests at the target", a.Status, s.count())
	}
	asked.ownedByOthers(peerOf(t, func(c net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(c))
		c.Close()
	}))
	a = asked.Handle(context.Background(), asked.keyed("GET", "/safe/x", "8", asked.otherKey(t), time.Second, ""))
	if a.Status != http.StatusOK || s.count() != 1 {
		t.Errorf("look-up: %d, %d requests at the target", a.Status, s.count())
	}
}

// An owner has lost its process. Nothing was sent, so that even an order is served by the
// VM that was asked, and the next ones do not try the owner again for a while.
func TestUnreachableOwnerIsPassedBy(t *testing.T) {
	s := startTarget(t, "a", ok)
	asked := newGateway(t, s)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	asked.ownedByOthers(l.Addr().String())
	l.Close()
	key := asked.otherKey(t)
	for i := range 3 {
		a := asked.Handle(context.Background(), asked.keyed("POST", "/once/x", fmt.Sprint(i), key, time.Second, ""))
		if a.Status != http.StatusOK || s.count() != i+1 {
			t.Errorf("%d, %d requests at the target", a.Status, s.count())
		}
	}
}

// An owner is cut off and never answers. Look-ups are served elsewhere once it is taken to
// be unresponsive; an order may have run, and waits for its time.
func TestUnresponsiveOwnerEndsTheWait(t *testing.T) {
	s := startTarget(t, "a", ok)
	asked := newGateway(t, s)
	arrived := make(chan struct{}, 2)
	asked.ownedByOthers(peerOf(t, func(c net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(c))
		arrived <- struct{}{}
		// The connection stays open until the other side closes it.
		_, _ = io.Copy(io.Discard, c)
	}))
	key := asked.otherKey(t)
	answers := make(chan *serve.Response, 1)
	go func() {
		answers <- asked.Handle(context.Background(), asked.keyed("GET", "/safe/x", "7", key, time.Minute, ""))
	}()
	<-arrived
	asked.options.Owners.SetVMs(nil, func(site.VM) bool { return false })
	if a := <-answers; a.Status != http.StatusOK || s.count() != 1 {
		t.Errorf("look-up: %d, %d requests at the target", a.Status, s.count())
	}
	asked.ownedByOthers(peerOf(t, func(c net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(c))
		arrived <- struct{}{}
		// The connection stays open until the other side closes it.
		_, _ = io.Copy(io.Discard, c)
	}))
	go func() {
		answers <- asked.Handle(context.Background(), asked.keyed("POST", "/once/x", "8", asked.otherKey(t), 300*time.Millisecond, ""))
	}()
	<-arrived
	asked.options.Owners.SetVMs(nil, func(site.VM) bool { return false })
	if a := <-answers; a.Status != http.StatusGatewayTimeout || s.count() != 1 {
		t.Errorf("order: %d, %d requests at the target", a.Status, s.count())
	}
}
