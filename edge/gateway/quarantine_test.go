package gateway

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/edge/quarantine"
	"github.com/yuccaroute/yuccaroute/edge/serve"
	"github.com/yuccaroute/yuccaroute/store/memkv"
)

type quarantineKeys struct{}

func (quarantineKeys) QuarantineKey(fingerprint string) string      { return fingerprint }
func (quarantineKeys) ParseQuarantineKey(key string) (string, bool) { return key, true }

// withQuarantine gives the gateway a quarantine and returns it.
func (f *fixture) withQuarantine() *quarantine.Quarantine {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f.options.Quarantine = quarantine.New(quarantine.Options{
		VM: "vm", KV: memkv.New(memkv.Options{}), Keys: quarantineKeys{}, Logger: logrus.NewEntry(log), EventAdded: func() {},
	})
	return f.options.Quarantine
}

// fingerprintOf returns the fingerprint of a request sent by ask.
func fingerprintOf(method, path, body string) quarantine.Fingerprint {
	return quarantine.FingerprintOf(quarantine.Content{Method: method, Host: "h:80", Target: path, Body: []byte(body)})
}

// recordCrashes reports, as from another VM, that targets crashed during a request.
func recordCrashes(q *quarantine.Quarantine, f quarantine.Fingerprint, targets ...uint64) {
	for _, target := range targets {
		q.Received(time.Now(), quarantine.Event{Request: f, Target: target}, quarantine.Origin{VM: "other"})
	}
}

func checkQuarantined(t *testing.T, a *serve.Response) {
	t.Helper()
	after, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
	if a.Status != http.StatusServiceUnavailable || err != nil || after < 1 {
		t.Errorf("%d, Retry-After %q", a.Status, a.Header.Get("Retry-After"))
	}
	if a.Header.Get(result.HeaderResult) != strconv.Itoa(int(result.Quarantined)) || a.Header.Get(result.HeaderOutcome) != "not-run" {
		t.Errorf("result %v", a.Header)
	}
}

// A quarantined request must not reach a target; other requests must.
func TestQuarantinedRequestIsRefused(t *testing.T) {
	s := startTarget(t, "a", ok)
	f := newGateway(t, s)
	recordCrashes(f.withQuarantine(), fingerprintOf("POST", "/once/x", "bad"), 1, 2, 3)
	checkQuarantined(t, f.ask(context.Background(), "POST", "/once/x", "1", time.Second, "bad"))
	if s.count() != 0 {
		t.Error("it reached a target")
	}
	if !strings.Contains(f.logText(), `"targets_ended":3`) || !strings.Contains(f.logText(), `"result":"quarantined"`) {
		t.Errorf("cause missing in the log: %s", f.logText())
	}
	if a := f.ask(context.Background(), "POST", "/once/x", "2", time.Second, "good"); a.Status != http.StatusOK {
		t.Errorf("%d for another body", a.Status)
	}
}

// Guards against a request that crashed two targets and is then sent to two more.
func TestSuspectedRequestIsSentOnce(t *testing.T) {
	a, b := startTarget(t, "a", hangUp), startTarget(t, "b", hangUp)
	f := newGateway(t, a, b)
	recordCrashes(f.withQuarantine(), fingerprintOf("GET", "/safe/x", ""), 1, 2)
	if got := f.ask(context.Background(), "GET", "/safe/x", "1", time.Second, ""); got.Status != http.StatusBadGateway {
		t.Errorf("status %d", got.Status)
	}
	if a.count()+b.count() != 1 {
		t.Errorf("sent %d times", a.count()+b.count())
	}
}

// Guards against sending a request that is quarantined while it waits in the queue.
func TestRequestQuarantinedInQueueIsNotSent(t *testing.T) {
	free := make(chan struct{})
	s := startTarget(t, "a", func(w *bufio.Writer, r *http.Request, body string) bool {
		<-free
		return ok(w, r, body)
	})
	f := newGateway(t, s)
	q := f.withQuarantine()
	const slots = 4
	answers := make(chan *serve.Response, slots+1)
	for range slots {
		go func() { answers <- f.ask(context.Background(), "POST", "/once/x", "1", 2*time.Second, "") }()
	}
	waitFor(t, "the target never filled up", func() bool { return s.count() == slots })
	go func() { answers <- f.ask(context.Background(), "POST", "/once/x", "2", 2*time.Second, "bad") }()
	waitFor(t, "the request never waited", func() bool { return f.options.Balancer.Waiting() == 1 })
	recordCrashes(q, fingerprintOf("POST", "/once/x", "bad"), 1, 2, 3)
	close(free)
	refused := 0
	for range slots + 1 {
		if a := <-answers; a.Status != http.StatusOK {
			refused++
			checkQuarantined(t, a)
		}
	}
	if refused != 1 || s.count() != slots {
		t.Errorf("%d refused, %d reached the target", refused, s.count())
	}
}

// An answer to an attempt that was already under way lifts the quarantine.
func TestAnswerLiftsQuarantine(t *testing.T) {
	began, free := make(chan struct{}), make(chan struct{})
	s := startTarget(t, "a", func(w *bufio.Writer, r *http.Request, body string) bool {
		if r.Header.Get("X-Id") == "1" {
			close(began)
			<-free
		}
		return ok(w, r, body)
	})
	f := newGateway(t, s)
	q := f.withQuarantine()
	first := make(chan *serve.Response, 1)
	go func() { first <- f.ask(context.Background(), "GET", "/safe/x", "1", time.Second, "") }()
	<-began
	recordCrashes(q, fingerprintOf("GET", "/safe/x", ""), 1, 2, 3)
	checkQuarantined(t, f.ask(context.Background(), "GET", "/safe/x", "2", time.Second, ""))
	close(free)
	<-first
	if a := f.ask(context.Background(), "GET", "/safe/x", "3", time.Second, ""); a.Status != http.StatusOK {
		t.Errorf("%d after an answer", a.Status)
	}
}

// A request that is quarantined only at the owner of its key is refused there.
func TestOwnerRefusesQuarantinedRequest(t *testing.T) {
	s := startTarget(t, "a", ok)
	entry, owner := newGateway(t, s), newGateway(t, s)
	entry.setOwners(owner.servePeers(t))
	entry.withQuarantine()
	recordCrashes(owner.withQuarantine(), fingerprintOf("GET", "/safe/x", ""), 1, 2, 3)
	checkQuarantined(t, entry.Handle(context.Background(), entry.keyedRequest("GET", "/safe/x", "7", entry.peerKey(t), time.Second, "")))
	if s.count() != 0 {
		t.Error("it reached a target")
	}
}

// The planned stop of a target must not be held against the requests that it had.
func TestOnlyUnplannedStopsCount(t *testing.T) {
	for name, planned := range map[string]bool{"crash": false, "draining": true} {
		t.Run(name, func(t *testing.T) {
			var s *target
			var f *fixture
			s = startTarget(t, "a", func(*bufio.Writer, *http.Request, string) bool {
				if planned {
					f.drain(s)
				}
				s.listener.Close()
				return false
			})
			f = newGateway(t, s)
			q := f.withQuarantine()
			f.ask(context.Background(), "POST", "/once/x", "1", time.Second, "")
			waitFor(t, "the target of the lost request was not checked", func() bool { return strings.Contains(f.logText(), "requests lost at a target") })
			waitFor(t, "the end was not taken in", func() bool { suspected, _ := q.Counts(); return planned || suspected == 1 })
			if suspected, _ := q.Counts(); planned && suspected != 0 {
				t.Errorf("%d suspected", suspected)
			}
		})
	}
}

// Guards against a crash that goes unattributed because the caller had left: only the next
// request finds the target gone.
func TestAbandonedRequestCountsForCrash(t *testing.T) {
	began, over := make(chan struct{}), make(chan struct{})
	t.Cleanup(func() { close(over) })
	s := startTarget(t, "a", func(w *bufio.Writer, r *http.Request, body string) bool {
		if r.URL.Path != "/once/bad" {
			return ok(w, r, body)
		}
		close(began)
		<-over
		return false
	})
	f := newGateway(t, s)
	q := f.withQuarantine()
	ctx, leave := context.WithCancel(context.Background())
	go func() {
		<-began
		leave()
	}()
	f.ask(ctx, "POST", "/once/bad", "1", time.Second, "")
	s.listener.Close()
	f.ask(context.Background(), "POST", "/once/x", "2", time.Second, "")
	waitFor(t, "the end was not taken in", func() bool { suspected, _ := q.Counts(); return suspected == 1 })
	if v := q.Verdict(time.Now(), fingerprintOf("POST", "/once/bad", "")); v.Targets != 1 {
		t.Errorf("%+v", v)
	}
}
