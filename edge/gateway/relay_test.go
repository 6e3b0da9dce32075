package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/edge/catalog"
	"github.com/yuccaroute/yuccaroute/edge/owners"
	"github.com/yuccaroute/yuccaroute/edge/reach"
	"github.com/yuccaroute/yuccaroute/edge/site"
	"github.com/yuccaroute/yuccaroute/proxy/forward"
	"github.com/yuccaroute/yuccaroute/proxy/notrun"
)

// cutOff lets the gateway find that it does not reach its targets.
func (f *fixture) cutOff() {
	now := time.Now()
	id := reach.Group{Service: "s", Region: "r"}
	f.reach.NotConnected(now, id, 1)
	f.reach.NotConnected(now, id, 2)
	now = now.Add(time.Second)
	f.reachChanged(first(f.reach.Tick(now)))
	f.reachChanged(f.reach.Probed(now, id, reach.Probes{Asked: 2}))
}

func first(changes []reach.Change, _ []reach.Round) []reach.Change { return changes }

// setRelays sets the VMs, by their peer addresses, that may place requests for this one.
func (f *fixture) setRelays(peers ...string) {
	var list []owners.Relay
	for i, peer := range peers {
		list = append(list, owners.Relay{VM: site.VM{Name: fmt.Sprint("peer-", i), Region: "r", PeerAddress: peer}})
	}
	f.options.Owners.SetRelays(list, func(site.VM) bool { return true })
}

// newCutGateway returns a gateway that does not reach its only target.
func newCutGateway(t *testing.T, relays ...string) (*fixture, *target) {
	unreached := startTarget(t, "a", ok)
	f := newGateway(t, unreached)
	f.setRelays(relays...)
	f.cutOff()
	return f, unreached
}

// Guards against requests that are refused although another VM reaches a target, and against header fields of
// the VMs that leave them.
func TestUnreachedTargetsAreReachedByAnotherVM(t *testing.T) {
	for name, path := range map[string]string{"at most once": "/once/x", "idempotent": "/safe/x"} {
		t.Run(name, func(t *testing.T) {
			var seen http.Header
			s := startTarget(t, "b", func(w *bufio.Writer, r *http.Request, body string) bool {
				seen = r.Header
				return ok(w, r, body)
			})
			peer := newGateway(t, s)
			f, unreached := newCutGateway(t, peer.servePeers(t))
			body := strings.Repeat("x", 100<<10)
			a := f.ask(context.Background(), "POST", path, "7", time.Second, body)
			if a.Status != http.StatusOK || string(a.Body) != "done" || a.Header.Get("X-Stamp") != "s" {
				t.Fatalf("%d %q %v", a.Status, a.Body, a.Header)
			}
			for _, h := range []http.Header{a.Header, seen} {
				for name := range h {
					if strings.HasPrefix(name, "Yucca-") {
						t.Errorf("field %s left the VMs", name)
					}
				}
			}
			if s.count() != 1 || s.bodies[0] != body || unreached.count() != 0 {
				t.Errorf("%d requests at the target, %d at the one that is not reached", s.count(), unreached.count())
			}
			if log := f.logText(); !strings.Contains(log, `"reason":"reach"`) || !strings.Contains(log, `"owner":"peer-0"`) {
				t.Errorf("log: %s", log)
			}
		})
	}
}

// Guards against callers that wait, or learn nothing, where no VM reaches a target, and against requests that
// go round between VMs that take each other for sound.
func TestRequestsAreRelayedOnce(t *testing.T) {
	a, _ := newCutGateway(t)
	b, _ := newCutGateway(t)
	var hops atomic.Int32
	count := func(f *fixture) string {
		address := f.servePeers(t)
		return startPeer(t, func(c net.Conn) {
			hops.Add(1)
			forwardTo(c, address)
		})
	}
	toA, toB := count(a), count(b)
	a.setRelays(toB)
	b.setRelays(toA)
	answer := a.ask(context.Background(), "POST", "/once/x", "7", time.Second, "order")
	if answer.Status != http.StatusServiceUnavailable || answer.Header.Get("Retry-After") == "" || hops.Load() != 1 {
		t.Errorf("%d %v after %d hops", answer.Status, answer.Header, hops.Load())
	}
	if !strings.Contains(a.logText(), `"why":"unreached"`) {
		t.Errorf("log: %s", a.logText())
	}
}

// answersWith returns a peer that answers one request; the text has a place for its ID.
func answersWith(text string) func(c net.Conn) {
	return func(c net.Conn) {
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			fmt.Fprintf(c, text, r.Header.Get("X-Id"))
		}
		c.Close()
	}
}

// noMemory has room for no body.
type noMemory struct{}

func (noMemory) Take(int64) bool { return false }
func (noMemory) Give(int64)      {}

// forwardTo copies a connection to an address and back.
func forwardTo(c net.Conn, address string) {
	defer c.Close()
	to, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer to.Close()
	go func() { _, _ = bufio.NewReader(c).WriteTo(to) }()
	_, _ = bufio.NewReader(to).WriteTo(c)
}

// Guards against requests that are lost, refused or run twice because the first VM that was asked cannot place
// them.
func TestRelayThatCannotPlaceTheRequest(t *testing.T) {
	hangsUp := func(c net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(c))
		c.Close()
	}
	for _, c := range []struct {
		name, path string
		// relay returns the address of the first VM.
		relay  func(t *testing.T) string
		status int
		runs   int
	}{
		{"does not reach targets either", "/once/x", func(t *testing.T) string {
			f, _ := newCutGateway(t)
			return f.servePeers(t)
		}, http.StatusOK, 1},
		{"busy", "/once/x", func(t *testing.T) string {
			f := newGateway(t, startTarget(t, "c", ok))
			f.Busy(time.Now())
			return f.servePeers(t)
		}, http.StatusOK, 1},
		{"stops", "/once/x", func(t *testing.T) string {
			f := newGateway(t, startTarget(t, "c", ok))
			f.Leave()
			return f.servePeers(t)
		}, http.StatusOK, 1},
		{"killed before", "/once/x", func(t *testing.T) string {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			l.Close()
			return l.Addr().String()
		}, http.StatusOK, 1},
		{"out of memory", "/once/x", func(t *testing.T) string {
			f := newGateway(t, startTarget(t, "c", ok))
			f.peerMemory = noMemory{}
			return f.servePeers(t)
		}, http.StatusOK, 1},
		{"refuses without naming the request", "/once/x", func(t *testing.T) string {
			return startPeer(t, func(c net.Conn) {
				fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.3\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
				_, _ = http.ReadRequest(bufio.NewReader(c))
				c.Close()
			})
		}, http.StatusBadGateway, 0},
		{"answers without the field that declines", "/once/x", func(t *testing.T) string {
			return startPeer(t, answersWith("HTTP/1.1 503 x\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n"))
		}, http.StatusBadGateway, 0},
		{"answers with a malformed result", "/once/x", func(t *testing.T) string {
			return startPeer(t, answersWith("HTTP/1.1 503 x\r\nX-Id: %s\r\nYucca-Result: shed\r\nYucca-Outcome: not-run\r\nContent-Length: 0\r\n\r\n"))
		}, http.StatusBadGateway, 0},
		{"answers with a result and no outcome", "/once/x", func(t *testing.T) string {
			return startPeer(t, answersWith("HTTP/1.1 503 x\r\nX-Id: %s\r\nYucca-Result: 112\r\nContent-Length: 0\r\n\r\n"))
		}, http.StatusBadGateway, 0},
		{"declines a success", "/once/x", func(t *testing.T) string {
			return startPeer(t, answersWith("HTTP/1.1 200 x\r\nX-Id: %s\r\nYucca-Declined: busy\r\nContent-Length: 0\r\n\r\n"))
		}, http.StatusBadGateway, 0},
		{"killed with an order", "/once/x", func(t *testing.T) string { return startPeer(t, hangsUp) }, http.StatusBadGateway, 0},
		{"killed with a look-up", "/safe/x", func(t *testing.T) string { return startPeer(t, hangsUp) }, http.StatusOK, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			good := startTarget(t, "b", ok)
			peer := newGateway(t, good)
			f, _ := newCutGateway(t)
			f.setRelays(c.relay(t), peer.servePeers(t))
			id := ""
			for i := 0; id == ""; i++ {
				// An id whose request goes to the first VM.
				r := &request{in: f.keyedRequest("POST", c.path, fmt.Sprint(i), "", time.Second, "")}
				r.id = fmt.Sprint(i)
				r.route = f.table.Load().Match(r.in.Host, r.in.Path)
				f.prepare(r)
				if o := f.chooseRelay(r); o.Name == "peer-0" {
					id = r.id
				}
			}
			a := f.ask(context.Background(), "POST", c.path, id, time.Second, "order")
			if a.Status != c.status || good.count() != c.runs {
				t.Errorf("%d, %d requests at the target; want %d and %d: %s", a.Status, good.count(), c.status, c.runs, f.logText())
			}
		})
	}
}

// Guards against a request that is sent to more targets than its route permits, as each VM that was asked to place
// it may have sent it and was lost.
func TestRelaysThatAreLostCountAsAttempts(t *testing.T) {
	var sent atomic.Int32
	hangsUp := func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			sent.Add(1)
		}
		c.Close()
	}
	f, _ := newCutGateway(t, startPeer(t, hangsUp), startPeer(t, hangsUp), startPeer(t, hangsUp), startPeer(t, hangsUp))
	a := f.ask(context.Background(), "GET", "/safe/x", "7", time.Second, "")
	// The routes of the fixture permit two attempts.
	if a.Status != http.StatusBadGateway || sent.Load() != 2 {
		t.Errorf("%d after %d sends", a.Status, sent.Load())
	}
}

// Guards against requests that are declined while VMs take over a new configuration one after the other.
func TestRelayWithAnotherVersionIsAskedAgain(t *testing.T) {
	good := startTarget(t, "b", ok)
	peer := newGateway(t, good)
	f, unreached := newCutGateway(t, peer.servePeers(t))
	f.edit = func(v *catalog.View) { v.Config.Version = 4 }
	f.setTargets(false, unreached)
	peer.edit = f.edit
	go func() {
		waitFor(t, "never declined", func() bool { return strings.Contains(f.logText(), `"why":"version"`) })
		peer.setTargets(false, good)
	}()
	if a := f.ask(context.Background(), "POST", "/once/x", "7", time.Second, ""); a.Status != http.StatusOK || good.count() != 1 {
		t.Errorf("%d, %d requests", a.Status, good.count())
	}
}

// Guards against bodies that are passed to a VM in a region where they must not go.
func TestBodiesAreNotRelayedToOtherRegions(t *testing.T) {
	good := startTarget(t, "b", ok)
	peer := newGateway(t, good)
	f, unreached := newCutGateway(t)
	f.edit = func(v *catalog.View) {
		v.Config.Version = 4
		for i := range v.Config.Routes {
			v.Config.Routes[i].Regions = []string{"r"}
		}
	}
	f.setTargets(false, unreached)
	peer.edit = f.edit
	peer.setTargets(false, good)
	f.options.Owners.SetRelays([]owners.Relay{{VM: site.VM{Name: "p", Region: "other", PeerAddress: peer.servePeers(t)}}}, func(site.VM) bool { return true })
	if a := f.ask(context.Background(), "POST", "/once/x", "7", time.Second, "body"); a.Status != http.StatusServiceUnavailable || good.count() != 0 {
		t.Errorf("%d, %d requests at the target", a.Status, good.count())
	}
	if a := f.ask(context.Background(), "POST", "/once/x", "8", time.Second, ""); a.Status != http.StatusOK {
		t.Errorf("without a body: %d", a.Status)
	}
}

// Guards against a caller that is told "not run" after a target may have run its request, and another VM has
// refused it.
func TestRefusalOfARelayDoesNotHideAnEarlierAttempt(t *testing.T) {
	f := newGateway(t)
	r := &request{}
	r.attempted.Add(notrun.None)
	refused := outcome{code: result.QueueFull, answer: &forward.Response{Status: http.StatusServiceUnavailable}}
	if end := f.finalOutcome(r, refused); end.code != result.ConnectionLost {
		t.Errorf("result %d", end.code)
	}
}

// Guards against a VM that leaves its callers' work at another VM when they leave.
func TestCallerThatLeavesIsSeenBehindTheRelay(t *testing.T) {
	left := make(chan struct{})
	peer := startPeer(t, func(c net.Conn) {
		reader := bufio.NewReader(c)
		_, _ = http.ReadRequest(reader)
		_, _ = reader.ReadByte()
		close(left)
	})
	f, _ := newCutGateway(t, peer)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	if a := f.ask(ctx, "POST", "/once/x", "7", time.Minute, ""); a != nil {
		t.Errorf("%d for a caller that has left", a.Status)
	}
	<-left
}

// Guards against requests that are counted again as new ones in the retry budget of the VM that places them,
// and against a latency objective that begins anew there.
func TestRelayKnowsTheHistoryOfARequest(t *testing.T) {
	f := newGateway(t, startTarget(t, "a", ok))
	in := f.keyedRequest("GET", "/safe/x", "7", "k", time.Second, "")
	in.Header.Set(fieldAttempts, "1")
	in.Header.Set(fieldElapsed, "300")
	r := &request{in: in, id: "7", fromPeer: true}
	r.readHistory()
	r.route = f.table.Load().Match(in.Host, in.Path)
	f.prepare(r)
	if r.attempts != 1 || !r.deposited || r.placement.Objective.Sub(in.Arrived) != r.route.Objective-300*time.Millisecond {
		t.Errorf("%d attempts, deposited %v, objective after %s", r.attempts, r.deposited, r.placement.Objective.Sub(in.Arrived))
	}
}

// Guards against a VM that never uses targets again which were unreached when their registrations lapsed.
func TestTargetsThatLapsedWhileUnreachedAreUsedAgain(t *testing.T) {
	f, s := newCutGateway(t)
	f.drain(s)
	f.setTargets(false, s)
	waitFor(t, "never served", func() bool {
		f.CheckReach(context.Background(), func(string) string { return "/health" })
		return f.ask(context.Background(), "POST", "/once/x", "7", time.Second, "").Status == http.StatusOK
	})
}

// Guards against a VM that refuses requests for ever since it has applied the return of its targets before their
// loss: probes end in goroutines of their own.
func TestReturnThatIsAppliedBeforeTheLossHolds(t *testing.T) {
	f := newGateway(t, startTarget(t, "a", ok))
	now, id := time.Now(), reach.Group{Service: "s", Region: "r"}
	f.reach.NotConnected(now, id, 1)
	f.reachChanged(first(f.reach.Tick(now.Add(time.Second))))
	lost := f.reach.Probed(now.Add(time.Second), id, reach.Probes{Asked: 1})
	f.reach.Tick(now.Add(2 * time.Second))
	f.reachChanged(f.reach.Probed(now.Add(2*time.Second), id, reach.Probes{Asked: 1, Connected: 1, Answered: 1}))
	f.reachChanged(lost)
	if a := f.ask(context.Background(), "POST", "/once/x", "7", time.Second, ""); a.Status != http.StatusOK {
		t.Errorf("%d: %s", a.Status, f.logText())
	}
}
