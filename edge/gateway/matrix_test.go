package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/edge/serve"
	"github.com/yuccaroute/yuccaroute/proxy/pool"
)

// answerKind is what a target answers: a status line with the fields that it states, and whether it has run the order.
type answerKind struct {
	name, head string
	ran        bool
	// status is what the caller of an order gets if the answer is whole and names the order; page is why.
	status int
	page   string
}

var answerKindsOfTargets = []answerKind{
	{"refusal", "HTTP/1.1 503 x\r\nX-Not-Run: 1\r\n", false, 503, "Servers: a response with the field states that the server did not run it"},
	{"refusal with 400", "HTTP/1.1 400 x\r\nX-Not-Run: 1\r\n", false, 503, "Servers: a response with the field states that the server did not run it"},
	{"misdirected", "HTTP/1.1 421 x\r\n", false, 503, "Requests: a server that is not the expected one responds with 421 and does not run it"},
	{"503 without the field", "HTTP/1.1 503 x\r\n" + stamp, true, 502, "Servers: no other response states this"},
	{"429 without the field", "HTTP/1.1 429 x\r\n" + stamp, true, 502, "Servers: no other response states this"},
	{"408 without the field", "HTTP/1.1 408 x\r\n" + stamp, true, 502, "Servers: no other response states this"},
	{"error", "HTTP/1.1 500 x\r\n" + stamp, true, 500, "Answers: status, body and stamp are returned unchanged"},
	{"success", "HTTP/1.1 200 x\r\n" + stamp, true, 200, "Answers: status, body and stamp are returned unchanged"},
}

// idKind is how an answer names a request; the text has a place for the ID of the order, or none.
type idKind struct {
	name, field string
	own         bool
}

var idKinds = []idKind{
	{"own", "X-Id: %s\r\n", true},
	{"own twice", "X-Id: %s\r\nX-Id: %[1]s\r\n", true},
	{"other", "X-Id: another%.0s\r\n", false},
	{"empty", "X-Id:%.0s\r\n", false},
	{"none", "%.0s", false},
	{"two, own first", "X-Id: %s\r\nX-Id: another\r\n", false},
	{"two, own last", "X-Id: another\r\nX-Id: %s\r\n", false},
}

// arrival is when an answer comes, or what of it.
type arrival string

const (
	// alone: nothing else comes, and the connection ends.
	alone arrival = "alone"
	// early: the answer that is due follows.
	early arrival = "early"
	// late: the answer that is due came before.
	late arrival = "late"
	// cutShort: a part of the body is missing as the connection ends.
	cutShort arrival = "cut short"
	// unbounded: it has no length and ends with its connection.
	unbounded arrival = "without length"
	// inHead: the connection ends in its head.
	inHead arrival = "cut in the head"
)

var arrivals = []arrival{alone, early, late, cutShort, unbounded, inHead}

// matrixRow is an answer in one of its forms.
type matrixRow struct {
	kind answerKind
	id   idKind
	when arrival
}

func (r matrixRow) String() string {
	return fmt.Sprintf("%s, ID %s, %s", r.kind.name, r.id.name, r.when)
}

// want returns the status that the caller of an order gets, and the statement of the users' pages that allows it.
func (r matrixRow) want() (status int, page string) {
	switch {
	case r.when == late:
		return 200, "Servers: bytes after a complete response belong to no request"
	case r.when == early:
		return 200, "Servers: an extra response may come where the next one is expected; the ID identifies it"
	case r.when == cutShort || r.when == inHead:
		return 502, "Answers: 502 promises nothing; rules: one that ends early must not look complete"
	case !r.id.own:
		return 502, "Servers: such bytes belong to no request; without a response a request may have run"
	}
	return r.kind.status, r.kind.page
}

// rows returns all answers but those that no target sends: one that names an order and comes before its answer.
func rows() (all []matrixRow) {
	for _, kind := range answerKindsOfTargets {
		for _, id := range idKinds {
			for _, when := range arrivals {
				if when != early || !id.own {
					all = append(all, matrixRow{kind, id, when})
				}
			}
		}
	}
	return all
}

// hop is the VM that sends an order to targets.
type hop string

const (
	callersVM hop = "caller's VM"
	owner     hop = "owner"
	relay     hop = "relay"
)

// secondTry is why the answer comes to a second try, or none.
type secondTry string

const (
	firstTry    secondTry = "first try"
	refused1    secondTry = "first refused"
	unreachable secondTry = "first not connected"
	declined    secondTry = "declined by another VM"
)

// matrixWorld has the targets of one cell of the matrix, and what they saw.
type matrixWorld struct {
	row    matrixRow
	reason secondTry
	mu     sync.Mutex
	tries  map[string]int
	runs   map[string]int
	dials  int
	// script replaces the answer of the row, unless it is nil.
	script script
}

// answer is the script of a target.
func (m *matrixWorld) answer(w *bufio.Writer, r *http.Request, body string) bool {
	id := r.Header.Get("X-Id")
	m.mu.Lock()
	m.tries[id]++
	first := m.tries[id] == 1
	due := m.row.when == early || m.row.when == late
	refuses := m.reason == refused1 && first
	if !refuses && (m.row.kind.ran || due || m.script != nil) {
		m.runs[id]++
	}
	m.mu.Unlock()
	if m.script != nil {
		return m.script(w, r, body)
	}
	if refuses {
		_, _ = io.WriteString(w, refusal(r))
		return true
	}
	head := m.row.kind.head + fmt.Sprintf(m.row.id.field, id)
	switch m.row.when {
	case early:
		_, _ = io.WriteString(w, head+whole)
		_ = w.Flush()
		time.Sleep(runTime)
		return ok(w, r, body)
	case late:
		ok(w, r, body)
		_ = w.Flush()
		time.Sleep(runTime)
		_, _ = io.WriteString(w, head+whole)
		return true
	case alone:
		_, _ = io.WriteString(w, head+whole)
	case cutShort:
		_, _ = io.WriteString(w, head+"Content-Length: 5\r\n\r\ndone")
	case unbounded:
		_, _ = io.WriteString(w, head+"\r\ndone")
	case inHead:
		_, _ = io.WriteString(w, head)
	}
	_ = w.Flush()
	return false
}

// dial connects to targets and to the VMs of handlers.
func (m *matrixWorld) dial(handlers map[string]serve.Handler) func(time.Duration) pool.Dial {
	dial := func(_ context.Context, address string) (net.Conn, error) {
		handle, isVM := handlers[address]
		m.mu.Lock()
		m.dials++
		first := m.dials == 1
		m.mu.Unlock()
		if !isVM && m.reason == unreachable && first {
			return nil, errors.New("connection refused")
		}
		near, far := net.Pipe()
		if isVM {
			go servePipe(far, handle)
		} else {
			go (&target{}).serve(far, m.answer)
		}
		return near, nil
	}
	return func(time.Duration) pool.Dial { return dial }
}

// gatewayAt returns the VM that callers ask, with the order's way to targets, and all VMs.
func (m *matrixWorld) gatewayAt(t *testing.T, h hop) (entry *fixture, all []*fixture) {
	a, b := &target{id: "a"}, &target{id: "b"}
	handlers := make(map[string]serve.Handler)
	newVM := func() *fixture {
		f := newGatewayOn(t, m.dial(handlers), a, b)
		f.options.RetryExtra = 1000
		all = append(all, f)
		return f
	}
	entry = newVM()
	if h == owner || h == relay {
		handlers["other:1"] = newVM().HandleDelegated
	}
	switch {
	case h == owner:
		entry.setOwners("other:1")
	case h == relay:
		entry.cutOff()
		entry.setRelays("other:1")
	case m.reason == declined:
		handlers["other:1"] = func(_ context.Context, r *serve.Request) *serve.Response {
			a := declinedResponse(otherVersion)
			a.Header.Set("X-Id", r.Header.Get("X-Id"))
			return a
		}
		entry.setOwners("other:1")
	}
	return entry, all
}

// Guards against orders that run twice, or run though their callers were told that they did not: each answer that a
// target may send, at each VM that may send to it, for each reason to send an order there.
func TestMatrixOfAnswers(t *testing.T) {
	for _, h := range []hop{callersVM, owner, relay} {
		for _, reason := range []secondTry{firstTry, refused1, unreachable, declined} {
			if reason == declined && h != callersVM {
				continue
			}
			for _, row := range rows() {
				t.Run(fmt.Sprintf("%s, %s, %s", h, reason, row), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { checkCell(t, h, reason, row) })
				})
			}
		}
	}
}

// checkCell sends two orders, one after the other, and compares what their callers got with what ran.
func checkCell(t *testing.T, h hop, reason secondTry, row matrixRow) {
	m := &matrixWorld{row: row, reason: reason, tries: make(map[string]int), runs: make(map[string]int)}
	f, all := m.gatewayAt(t, h)
	key := ""
	if h == owner || reason == declined {
		key = f.peerKey(t)
	}
	want, page := row.want()
	for i, id := range []string{"first", "second"} {
		got := f.Handle(context.Background(), f.keyedRequest("POST", "/once/x", id, key, 2*time.Second, "order"))
		runs := m.runs[id]
		switch {
		case got == nil:
			t.Fatal("no answer")
		case runs > 1, isPromiseOf(got) && runs > 0, got.Status == 200 && (string(got.Body) != "done" || runs != 1):
			t.Errorf("order %d was answered %d %q and ran %d times", i, got.Status, got.Body, runs)
		case i == 0 && got.Status != want:
			t.Errorf("status %d, want %d (%s)", got.Status, want, page)
		}
		time.Sleep(2 * runTime)
	}
	for _, vm := range all {
		for _, p := range vm.ownerPools {
			p.Close()
		}
		vm.finish()
	}
}

// isPromiseOf reports whether an answer tells its caller that the order did not run.
func isPromiseOf(a *serve.Response) bool {
	return a.Status == 503 || a.Status == 429 || a.Status == 408 || a.Status == 421
}
