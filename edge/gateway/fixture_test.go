package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/edge/catalog"
	"github.com/yuccaroute/yuccaroute/edge/owners"
	"github.com/yuccaroute/yuccaroute/edge/placing"
	"github.com/yuccaroute/yuccaroute/edge/refusals"
	"github.com/yuccaroute/yuccaroute/edge/serve"
	"github.com/yuccaroute/yuccaroute/edge/site"
	"github.com/yuccaroute/yuccaroute/proxy/pool"
)

var fields = site.FieldNames{
	RequestID: "X-Id", Deadline: "X-Deadline", Affinity: "X-Object", ExpectTarget: "X-Expect", Stamp: "X-Stamp",
	NotRun: "X-Not-Run", TargetID: "X-Target", Load: "X-Load", ColdMillis: "X-Cold",
	Account: "X-Account", APIKey: "X-Key",
}

// script answers one request and returns false to close the connection.
type script func(w *bufio.Writer, r *http.Request, body string) bool

// target is a scripted target that records the requests it receives.
type target struct {
	id       string
	listener net.Listener
	mu       sync.Mutex
	ids      []string
	bodies   []string
}

func startTarget(t *testing.T, id string, answer script) *target {
	t.Helper()
	return startTargetWith(t, id, func(s *target, c net.Conn) { s.serve(c, answer) })
}

// startTargetWith starts a target that handles each connection with serve.
func startTargetWith(t *testing.T, id string, serve func(s *target, c net.Conn)) *target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &target{id: id, listener: l}
	var all sync.WaitGroup
	all.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go serve(s, c)
		}
	})
	t.Cleanup(func() { l.Close(); all.Wait() })
	return s
}

func (s *target) serve(c net.Conn, answer script) {
	defer c.Close()
	reader, writer := bufio.NewReader(c), bufio.NewWriter(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.ids = append(s.ids, r.Header.Get("X-Id"))
		s.bodies = append(s.bodies, string(body))
		s.mu.Unlock()
		if !answer(writer, r, string(body)) || writer.Flush() != nil {
			return
		}
	}
}

// address returns the listener's address, or a synthetic one for a target without a listener.
func (s *target) address() string {
	if s.listener == nil {
		return s.id + ":1"
	}
	return s.listener.Addr().String()
}

func (s *target) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.ids)
}

// ok answers with success and the target's stamp.
func ok(w *bufio.Writer, r *http.Request, _ string) bool {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Stamp: s\r\nContent-Length: 4\r\n\r\ndone", r.Header.Get("X-Id"))
	return true
}

// shed refuses the request without running it.
func shed(w *bufio.Writer, r *http.Request, _ string) bool {
	fmt.Fprintf(w, "HTTP/1.1 503 Service Unavailable\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Id"))
	return true
}

// hangUp closes the connection after reading the request.
func hangUp(*bufio.Writer, *http.Request, string) bool { return false }

type noMetrics struct{}

func (noMetrics) RequestEnded(string, string, string, int, time.Duration) {}
func (noMetrics) RequestRefused(refusals.Refusal)                         {}
func (noMetrics) AttemptEnded(string, string)                             {}
func (noMetrics) RequestDelegated(string, string)                         {}
func (noMetrics) LoadStated(string, bool)                                 {}
func (noMetrics) ExpectedError(string, time.Duration)                     {}
func (noMetrics) TargetCrashed(string)                                    {}

// fixture is a gateway that captures its log.
type fixture struct {
	*Gateway
	logs *bytes.Buffer
	// edit changes each view before it is applied.
	edit func(*catalog.View)
	// peerMemory limits the bodies of delegated requests; nil means no limit.
	peerMemory serve.Memory
	mu         sync.Mutex
}

func (f *fixture) Write(p []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.logs.Write(p)
}

// logText returns the log so far.
func (f *fixture) logText() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.logs.String()
}

func newGateway(t *testing.T, targets ...*target) *fixture {
	t.Helper()
	return newGatewayOn(t, nil, targets...)
}

// newGatewayOn returns a gateway that connects to targets by dial; nil means TCP.
func newGatewayOn(t *testing.T, dial func(time.Duration) pool.Dial, targets ...*target) *fixture {
	t.Helper()
	f := &fixture{logs: &bytes.Buffer{}, edit: func(*catalog.View) {}}
	l := logrus.New()
	l.SetOutput(f)
	l.SetFormatter(&logrus.JSONFormatter{})
	delay := func(string) time.Duration { return time.Millisecond }
	balancer := placing.New(placing.Options{VM: "vm", Zone: "z", Region: "r", RegionOf: map[string]string{"z": "r"}, RTT: delay})
	f.Gateway = New(Options{
		Fields: fields, Balancer: balancer, Logger: logrus.NewEntry(l), Metrics: noMetrics{}, RetryRatio: 0.2, RetryExtra: 50,
		VMCount: func() int { return 1 }, RTT: delay, InFlightChanged: func() {}, MaxAnswerBytes: 1 << 20,
		Region: "r", Dial: dial, Owners: owners.New(site.VM{Name: "vm"}),
	})
	if len(targets) == 0 {
		return f
	}
	f.setTargets(false, targets...)
	return f
}

// setTargets applies a view with the given targets.
func (f *fixture) setTargets(draining bool, targets ...*target) {
	v := &catalog.View{Config: &site.Config{
		Version:  3,
		Services: map[string]site.Service{"s": {Name: "s", MaxConnections: 100}},
	}}
	for name, kind := range map[string]site.Kind{"safe": site.Idempotent, "once": site.AtMostOnce} {
		v.Config.Routes = append(v.Config.Routes, site.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Timeout: 2 * time.Second, Objective: time.Second,
			MaxAttempts: 2, Sticky: true, Services: []site.WeightedService{{Service: "s", Weight: 1}},
		})
	}
	for _, s := range targets {
		v.Targets = append(v.Targets, catalog.Target{Target: site.Target{
			ID: s.id, Service: "s", Address: s.address(), Zone: "z", Slots: 4, Draining: draining,
		}})
	}
	f.edit(v)
	f.SetView(v, time.Now())
}

// drain marks a target as draining.
func (f *fixture) drain(s *target) { f.setTargets(true, s) }

func (f *fixture) ask(ctx context.Context, method, path, id string, deadline time.Duration, body string) *serve.Response {
	return f.Handle(ctx, &serve.Request{
		Method: method, Target: path, Path: path, Host: "h:80", Body: []byte(body), Arrived: time.Now(),
		Header: http.Header{"X-Id": {id}, "X-Deadline": {fmt.Sprint(deadline.Milliseconds())}},
	})
}

// badAndGoodTargets starts a target that follows the script and one that answers with success.
func badAndGoodTargets(t *testing.T, bad script) (*target, *target) {
	return startTarget(t, "bad", bad), startTarget(t, "good", ok)
}
