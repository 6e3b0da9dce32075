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

// withQuarantine gives a gateway a quarantine of its own.
func (f *fixture) withQuarantine() *quarantine.Quarantine {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f.options.Quarantine = quarantine.New(quarantine.Options{
		VM: "vm", KV: memkv.New(memkv.Options{}), Keys: quarantineKeys{}, Logger: logrus.NewEntry(log), EventAdded: func() {},
	})
	return f.options.Quarantine
}

// fingerprintOf is that of what ask sends.
func fingerprintOf(method, path, body string) quarantine.Fingerprint {
	return quarantine.FingerprintOf(quarantine.Content{Method: method, Host: "h:80", Target: path, Body: []byte(body)})
}

// end has targets end under a request, as other VMs tell it.
func end(q *quarantine.Quarantine, f quarantine.Fingerprint, targets ...uint64) {
	for _, target := range targets {
		q.Received(time.Now(), quarantine.Event{Request: f, Target: target}, quarantine.Origin{VM: "other"})
	}
}

func checkKept(t *testing.T, a *serve.Response) {
	t.Helper()
	after, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
	if a.Status != http.StatusServiceUnavailable || err != nil || after < 1 {
		t.Errorf("%d, Retry-After %q", a.Status, a.Header.Get("Retry-After"))
	}
	if a.Header.Get(result.HeaderResult) != strconv.Itoa(int(result.Quarantined)) || a.Header.Get(result.HeaderOutcome) != "not-run" {
		t.Errorf("result %v", a.Header)
	}
}

// Guards against quarantined requests that reach a target, and others that do not.
func TestQuarantinedRequestIsRefusedUnrun(t *testing.T) {
	s := startTarget(t, "a", ok)
	f := newGateway(t, s)
	end(f.withQuarantine(), fingerprintOf("POST", "/once/x", "bad"), 1, 2, 3)
	checkKept(t, f.ask(context.Background(), "POST", "/once/x", "1", time.Second, "bad"))
	if s.count() != 0 {
		t.Error("it reached a target")
	}
	if !strings.Contains(f.written(), `"targets_ended":3`) || !strings.Contains(f.written(), `"result":"quarantined"`) {
		t.Errorf("the line does not tell the cause: %s", f.written())
	}
	if a := f.ask(context.Background(), "POST", "/once/x", "2", time.Second, "good"); a.Status != http.StatusOK {
		t.Errorf("%d for another body", a.Status)
	}
}

// Guards against a request that has ended two targets and ends two more in one try.
func TestSuspectedRequestIsSentOnce(t *testing.T) {
	a, b := startTarget(t, "a", hangUp), startTarget(t, "b", hangUp)
	f := newGateway(t, a, b)
	end(f.withQuarantine(), fingerprintOf("GET", "/safe/x", ""), 1, 2)
	if got := f.ask(context.Background(), "GET", "/safe/x", "1", time.Second, ""); got.Status != http.StatusBadGateway {
		t.Errorf("status %d", got.Status)
	}
	if a.count()+b.count() != 1 {
		t.Errorf("sent %d times", a.count()+b.count())
	}
}

// Guards against a request that is quarantined while it waits for a slot, and is sent.
func TestRequestQuarantinedInTheQueueIsNotSent(t *testing.T) {
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
	until(t, "the target never was full", func() bool { return s.count() == slots })
	go func() { answers <- f.ask(context.Background(), "POST", "/once/x", "2", 2*time.Second, "bad") }()
	until(t, "the request never waited", func() bool { return f.options.Balancer.Waiting() == 1 })
	end(q, fingerprintOf("POST", "/once/x", "bad"), 1, 2, 3)
	close(free)
	kept := 0
	for range slots + 1 {
		if a := <-answers; a.Status != http.StatusOK {
			kept++
			checkKept(t, a)
		}
	}
	if kept != 1 || s.count() != slots {
		t.Errorf("%d refused, %d reached the target", kept, s.count())
	}
}

// Guards against an innocent request that stays refused: a target that answers it, as it was
// sent already, clears it.
func TestAnswerEndsTheQuarantine(t *testing.T) {
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
	end(q, fingerprintOf("GET", "/safe/x", ""), 1, 2, 3)
	checkKept(t, f.ask(context.Background(), "GET", "/safe/x", "2", time.Second, ""))
	close(free)
	<-first
	if a := f.ask(context.Background(), "GET", "/safe/x", "3", time.Second, ""); a.Status != http.StatusOK {
		t.Errorf("%d after an answer", a.Status)
	}
}

// Guards against a quarantine at the VM that a caller asks which the owner of the key does not
// know, and the other way round.
func TestOwnerRefusesQuarantinedRequest(t *testing.T) {
	s := startTarget(t, "a", ok)
	asked, owner := newGateway(t, s), newGateway(t, s)
	asked.ownedByOthers(owner.listenForOthers(t))
	asked.withQuarantine()
	end(owner.withQuarantine(), fingerprintOf("GET", "/safe/x", ""), 1, 2, 3)
	checkKept(t, asked.Handle(context.Background(), asked.keyed("GET", "/safe/x", "7", asked.otherKey(t), time.Second, "")))
	if s.count() != 0 {
		t.Error("it reached a target")
	}
}

// Guards against targets whose planned end is blamed on the requests that they had.
func TestOnlyUnplannedEndsAreBlamed(t *testing.T) {
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
			until(t, "the lost request was not looked at", func() bool { return strings.Contains(f.written(), "requests lost at a target") })
			until(t, "the end was not taken in", func() bool { suspected, _ := q.Counts(); return planned || suspected == 1 })
			if suspected, _ := q.Counts(); planned && suspected != 0 {
				t.Errorf("%d suspected", suspected)
			}
		})
	}
}

// Guards against a request whose caller leaves before it ends its target: nobody waits for that
// connection, and the next request finds the target gone.
func TestAbandonedRequestIsBlamedForTheEnd(t *testing.T) {
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
	until(t, "the end was not taken in", func() bool { suspected, _ := q.Counts(); return suspected == 1 })
	if v := q.Verdict(time.Now(), fingerprintOf("POST", "/once/bad", "")); v.Targets != 1 {
		t.Errorf("%+v", v)
	}
}
