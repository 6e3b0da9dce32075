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
	// nbio's timers and buffers belong to the process, not to the engine.
	goleak.VerifyTestMain(m)
}

// limitedAdmitter is a BodyAdmitter with a fixed amount of memory.
type limitedAdmitter struct {
	free  atomic.Int64
	limit int64
}

func (a *limitedAdmitter) ReserveBody(_ http.Header, length int64) (Reservation, result.Code) {
	if length < 0 {
		length = a.limit
	}
	if length > a.limit {
		return Reservation{}, result.RequestTooLarge
	}
	if a.free.Add(-length) < 0 {
		a.free.Add(length)
		return Reservation{}, result.BufferFull
	}
	return Reservation{MaxBytes: a.limit, LeadTime: time.Hour, Release: func() { a.free.Add(length) }}, result.OK
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

func readResponse(t testing.TB, r *bufio.Reader) (*http.Response, string) {
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

// Malformed and oversized requests must get a result code with outcome not-run
// and must not reach the handler.
func TestBadInputGetsResultCode(t *testing.T) {
	cases := []struct {
		name, text string
		want       result.Code
	}{
		{"not HTTP", "\x16\x03\x01 hello\r\n\r\n", result.BadRequest},
		{"unsupported version", "GET / HTTP/2.0\r\n\r\n", result.BadRequest},
		{"malformed length", "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n", result.BadRequest},
		{"endless header", "GET / HTTP/1.1\r\nA: " + strings.Repeat("a", 80<<10), result.BadRequest},
		{"body over the limit", "POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n", result.RequestTooLarge},
		{"body over the free memory", "POST / HTTP/1.1\r\nContent-Length: 900\r\n\r\n", result.BufferFull},
		{"chunk over the limit", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n400\r\n" + strings.Repeat("a", 0x400) + "\r\n", result.BufferFull},
		{"length overflows an integer", "POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", result.BadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			handler := func(http.ResponseWriter, *http.Request) { t.Error("the handler ran") }
			bodies := &limitedAdmitter{limit: 1000}
			bodies.free.Store(800)
			s := startServer(t, Options{Handler: http.HandlerFunc(handler), BodyAdmitter: bodies})
			conn, r := dialServer(t, s)
			_, _ = io.WriteString(conn, c.text)
			resp, _ := readResponse(t, r)
			wantCode(t, resp, c.want)
			want := result.InfoOf(c.want).Retry
			for _, field := range []string{result.HeaderRetryAfter, "Retry-After"} {
				if got := resp.Header.Get(field) != ""; got != want {
					t.Errorf("%s present: %t, want %t", field, got, want)
				}
			}
		})
	}
}

// The rejection of a malformed pipelined request must follow the response to the
// request before it.
func TestRejectionFollowsEarlierResponse(t *testing.T) {
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
	if _, body := readResponse(t, r); body != "first" {
		t.Fatalf("first response %q", body)
	}
	resp, _ := readResponse(t, r)
	wantCode(t, resp, result.BadRequest)
}

// Without close notification a slot at the target stays occupied until the
// deadline.
func TestHandlerIsNotifiedOfClientClose(t *testing.T) {
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

// largeBytes exceeds the socket buffers.
const largeBytes = 32 << 20

// requestLargeResponse requests a large response; flushed receives, after Flush,
// whether the kernel has accepted all of it.
func requestLargeResponse(t *testing.T, o Options) (s *Server, r *bufio.Reader, flushed chan bool) {
	t.Helper()
	large := bytes.Repeat([]byte("a"), largeBytes)
	flushed = make(chan bool, 1)
	o.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(len(large)))
		_, _ = w.Write(large)
		w.(http.Flusher).Flush()
		flushed <- isFlushed(w.(*ResponseWriter).conn)
	})
	s = startServer(t, o)
	conn, r := dialServer(t, s)
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\n\r\n")
	return s, r, flushed
}

func isFlushed(c *connection) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytesWritten >= largeBytes && c.bytesWritten == c.bytesQueued
}

// Flush must block until the kernel has accepted the whole response; otherwise
// Stop could truncate it.
func TestFlushWaitsForClientToRead(t *testing.T) {
	s, r, flushed := requestLargeResponse(t, Options{})
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	select {
	case <-flushed:
		t.Fatal("Flush returned though the client has not read the response")
	default:
	}
	if s.ActiveRequests() != 1 {
		t.Fatalf("%d active requests", s.ActiveRequests())
	}
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil || n != largeBytes {
		t.Fatalf("read %d bytes, error %v", n, err)
	}
	if !<-flushed {
		t.Fatal("Flush returned before the kernel accepted the response")
	}
}

// A client that never reads must be disconnected after WriteTimeout, to free the
// memory of its response.
func TestWriteTimeoutClosesConnection(t *testing.T) {
	_, _, flushed := requestLargeResponse(t, Options{WriteTimeout: 50 * time.Millisecond})
	<-flushed
}

// Memory reserved by completed and aborted uploads must be released.
func TestReservedMemoryIsReleased(t *testing.T) {
	bodies := &limitedAdmitter{limit: 1 << 20}
	// Enough for all uploads: memory is released only once the server sees the close.
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
			if _, body := readResponse(t, r); body != "full" {
				t.Fatalf("response %q", body)
			}
		case 3:
			_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("h", 600_000))
		case 4:
			_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n")
			if _, body := readResponse(t, r); body != "full" {
				t.Fatalf("response %q", body)
			}
		}
		conn.Close()
	}
	_ = s.Stop(context.Background())
	if free := bodies.free.Load(); free != memory {
		t.Fatalf("%d bytes free, want %d", free, memory)
	}
}

// Fields retained between requests must be bounded in number and size, and no
// value may carry over to the next request.
func TestRetainedFieldsAreBounded(t *testing.T) {
	p := &processor{admissionHeader: http.Header{}}
	for i := range 10 * maxRetainedFields {
		p.admissionHeader[result.HeaderAccount] = append(p.admissionHeader[result.HeaderAccount], "daehan")
		p.admissionHeader[fmt.Sprint("Yucca-", i)] = []string{"x"}
		p.admissionHeader["Yucca-"+strings.Repeat("a", maxRetainedNameBytes)] = []string{"x"}
		p.admissionHeader["Yucca-Many"] = make([]string, maxRetainedValues+1)
		p.resetAdmissionHeader()
		if len(p.admissionHeader) > maxRetainedFields {
			t.Fatalf("%d names retained", len(p.admissionHeader))
		}
		for name, values := range p.admissionHeader {
			retained := values[:cap(values)]
			if len(values) > 0 || len(name) > maxRetainedNameBytes || len(retained) > maxRetainedValues || strings.Join(retained, "") != "" {
				t.Fatalf("%s: %q retained", name, retained)
			}
		}
	}
}

func TestExpectContinue(t *testing.T) {
	s := startServer(t, Options{Handler: http.HandlerFunc(echo)})
	conn, r := dialServer(t, s)
	for _, want := range []string{"body", strings.Repeat("body", collectThresholdBytes)} {
		_, _ = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", len(want))
		resp, err := http.ReadResponse(r, nil)
		if err != nil || resp.StatusCode != http.StatusContinue {
			t.Fatalf("%v %v", resp, err)
		}
		_, _ = io.WriteString(conn, want)
		if _, body := readResponse(t, r); body != want {
			t.Fatalf("response %.20q", body)
		}
	}
}
