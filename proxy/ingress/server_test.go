package ingress

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/yuccaroute/yuccaroute/api/result"
)

func TestMain(m *testing.M) {
	// nbio keeps its timers and buffers for the process, not the engine.
	goleak.VerifyTestMain(m)
}

// bounded is a Bodies with a fixed memory.
type bounded struct {
	free  atomic.Int64
	limit int64
}

func (b *bounded) ReserveBody(_ http.Header, length int64) (Reservation, result.Code) {
	if length < 0 {
		length = b.limit
	}
	if length > b.limit {
		return Reservation{}, result.RequestTooLarge
	}
	if b.free.Add(-length) < 0 {
		b.free.Add(length)
		return Reservation{}, result.BufferFull
	}
	return Reservation{MaxBytes: b.limit, LeadTime: time.Hour, Release: func() { b.free.Add(length) }}, result.OK
}

func startServer(t *testing.T, o Options) *Server {
	t.Helper()
	o.Address = "127.0.0.1:0"
	s, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Stop(context.Background()) })
	return s
}

func dialServer(t testing.TB, s *Server) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c, bufio.NewReader(c)
}

func readAnswer(t testing.TB, r *bufio.Reader) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

func wantCode(t *testing.T, resp *http.Response, want result.Code) {
	t.Helper()
	if got := resp.Header.Get(result.HeaderResult); got != fmt.Sprint(int(want)) {
		t.Fatalf("result %s, want %d (%s)", got, want, want)
	}
	if got := resp.Header.Get(result.HeaderOutcome); got != result.NotRun.String() {
		t.Fatalf("outcome %s", got)
	}
}

func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = w.Write(body)
	w.(http.Flusher).Flush()
}

// A caller sends something that is no request, or too much of one. It gets a
// numbered "not run" instead of a connection that just closes, and the handler
// never sees it.
func TestBadInputGetsANumberedResult(t *testing.T) {
	cases := []struct {
		name, text string
		want       result.Code
	}{
		{"no HTTP", "\x16\x03\x01 hello\r\n\r\n", result.BadRequest},
		{"another protocol", "GET / HTTP/2.0\r\n\r\n", result.BadRequest},
		{"bad length", "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n", result.BadRequest},
		{"endless head", "GET / HTTP/1.1\r\nA: " + strings.Repeat("a", 80<<10), result.BadRequest},
		{"body over the limit", "POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n", result.RequestTooLarge},
		{"body over the memory", "POST / HTTP/1.1\r\nContent-Length: 900\r\n\r\n", result.BufferFull},
		{"chunk over the limit", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n400\r\n" + strings.Repeat("a", 0x400) + "\r\n", result.BufferFull},
		{"length beyond an integer", "POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", result.BadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			handler := func(http.ResponseWriter, *http.Request) { t.Error("the handler ran") }
			bodies := &bounded{limit: 1000}
			bodies.free.Store(800)
			s := startServer(t, Options{Handler: http.HandlerFunc(handler), BodyAdmitter: bodies})
			conn, r := dialServer(t, s)
			_, _ = io.WriteString(conn, c.text)
			resp, _ := readAnswer(t, r)
			wantCode(t, resp, c.want)
			due := result.InfoOf(c.want).Retry
			for _, field := range []string{result.HeaderRetryAfter, "Retry-After"} {
				if told := resp.Header.Get(field) != ""; told != due {
					t.Errorf("%s told: %t, due: %t", field, told, due)
				}
			}
		})
	}
}

// A caller sends two requests at once and the second is malformed. The first
// is still being served: its answer must come first, and whole, or the caller
// takes the refusal for it.
func TestRefusalWaitsForTheAnswerBefore(t *testing.T) {
	release := make(chan struct{})
	entered := make(chan struct{})
	handler := func(w http.ResponseWriter, r *http.Request) {
		close(entered)
		<-release
		echo(w, r)
	}
	s := startServer(t, Options{Handler: http.HandlerFunc(handler)})
	conn, r := dialServer(t, s)
	_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nfirst")
	<-entered
	_, _ = io.WriteString(conn, "NO\x00SENSE\r\n\r\n")
	close(release)
	if _, body := readAnswer(t, r); body != "first" {
		t.Fatalf("first answer %q", body)
	}
	resp, _ := readAnswer(t, r)
	wantCode(t, resp, result.BadRequest)
}

// A caller goes while its request is served. Without notice of it the slot at
// the target would stay taken until the deadline.
func TestHandlerLearnsThatItsCallerHasGone(t *testing.T) {
	entered, gone := make(chan struct{}), make(chan struct{})
	handler := func(w http.ResponseWriter, r *http.Request) {
		stop := w.(*ResponseWriter).WatchClose(r, func() { close(gone) })
		defer stop()
		close(entered)
		<-gone
	}
	s := startServer(t, Options{Handler: http.HandlerFunc(handler)})
	conn, _ := dialServer(t, s)
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\n\r\n")
	<-entered
	conn.Close()
	<-gone
}

// largeBytes is more than the system's buffers take.
const largeBytes = 32 << 20

// askForLarge asks a server for a large answer; flushed tells, when the answer
// counts as given, whether the system has taken all of it.
func askForLarge(t *testing.T, o Options) (s *Server, r *bufio.Reader, flushed chan bool) {
	t.Helper()
	large := bytes.Repeat([]byte("a"), largeBytes)
	flushed = make(chan bool, 1)
	o.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(len(large)))
		_, _ = w.Write(large)
		w.(http.Flusher).Flush()
		flushed <- takenWhole(w.(*ResponseWriter).conn)
	})
	s = startServer(t, o)
	conn, r := dialServer(t, s)
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\n\r\n")
	return s, r, flushed
}

func takenWhole(c *connection) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.taken >= largeBytes && c.taken == c.handed
}

// A caller asks for a large answer and does not read it. The answer counts as
// given, and its memory as free, only when the system has taken all of it; a
// stop in between would cut it.
func TestAnswerIsGivenWhenTakenWhole(t *testing.T) {
	s, r, flushed := askForLarge(t, Options{})
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	select {
	case <-flushed:
		t.Fatal("the answer counts as given though nobody read it")
	default:
	}
	if s.ActiveRequests() != 1 {
		t.Fatalf("%d requests in hand", s.ActiveRequests())
	}
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil || n != largeBytes {
		t.Fatalf("read %d bytes, error %v", n, err)
	}
	if !<-flushed {
		t.Fatal("the answer counted as given before the system had taken it")
	}
}

// A caller that never reads its answer is closed after AnswerTime; without the
// bound its answer would stay in memory for ever.
func TestCallerThatNeverReadsIsClosed(t *testing.T) {
	_, _, flushed := askForLarge(t, Options{WriteTimeout: 50 * time.Millisecond})
	<-flushed
}

// Callers break off their uploads half-way, some when the handler reads them
// already, or are refused. All memory they had reserved must come back.
func TestReservedMemoryComesBack(t *testing.T) {
	bodies := &bounded{limit: 1 << 20}
	// Enough for all at once: a broken upload is freed when the server sees it.
	const memory = 64 << 20
	bodies.free.Store(memory)
	s := startServer(t, Options{Handler: http.HandlerFunc(echo), BodyAdmitter: bodies})
	for i := range 40 {
		conn, r := dialServer(t, s)
		switch i % 5 {
		case 0:
			_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nContent-Length: 1000000\r\n\r\nhalf")
		case 1:
			_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")
		case 2:
			_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nfull")
			if _, body := readAnswer(t, r); body != "full" {
				t.Fatalf("answer %q", body)
			}
		case 3:
			_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("h", 600_000))
		case 4:
			_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n")
			if _, body := readAnswer(t, r); body != "full" {
				t.Fatalf("answer %q", body)
			}
		}
		conn.Close()
	}
	_ = s.Stop(context.Background())
	if free := bodies.free.Load(); free != memory {
		t.Fatalf("%d bytes free, want %d", free, memory)
	}
}

// A caller sends other fields with each request on one connection: new names,
// long names, many values. What is kept of them must not grow without end, and
// nothing of one request may count for the next.
func TestKeptFieldsAreBounded(t *testing.T) {
	p := &processor{header: http.Header{}}
	for i := range 10 * maxKeptFields {
		p.header[result.HeaderAccount] = append(p.header[result.HeaderAccount], "daehan")
		p.header[fmt.Sprint("Yucca-", i)] = []string{"x"}
		p.header["Yucca-"+strings.Repeat("a", maxKeptNameBytes)] = []string{"x"}
		p.header["Yucca-Many"] = make([]string, maxKeptValues+1)
		p.forgetHeader()
		if len(p.header) > maxKeptFields {
			t.Fatalf("%d names kept", len(p.header))
		}
		for name, values := range p.header {
			kept := values[:cap(values)]
			if len(values) > 0 || len(name) > maxKeptNameBytes || len(kept) > maxKeptValues || strings.Join(kept, "") != "" {
				t.Fatalf("%s: %q kept", name, kept)
			}
		}
	}
}

func TestContinueInvitesTheBody(t *testing.T) {
	s := startServer(t, Options{Handler: http.HandlerFunc(echo)})
	conn, r := dialServer(t, s)
	for _, want := range []string{"body", strings.Repeat("body", collectOverBytes)} {
		_, _ = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", len(want))
		resp, err := http.ReadResponse(r, nil)
		if err != nil || resp.StatusCode != http.StatusContinue {
			t.Fatalf("%v %v", resp, err)
		}
		_, _ = io.WriteString(conn, want)
		if _, body := readAnswer(t, r); body != want {
			t.Fatalf("answer %.20q", body)
		}
	}
}
