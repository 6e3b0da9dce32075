package ingress

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	// answerBytes exceed what the kernel holds for a connection, heldBytes do not.
	answerBytes = 12 << 20
	heldBytes   = 300 << 10
	// smallBuffer is the receive buffer of a client that reads slowly, in bytes.
	smallBuffer = 16 << 10
	// shortTimeout is that of the servers under test.
	shortTimeout = 200 * time.Millisecond
)

// answering returns a handler with answers of the given length, and a channel of the requests that have begun. It
// does not read bodies.
func answering(length int) (http.Handler, chan string) {
	body := bytes.Repeat([]byte("x"), length)
	begun := make(chan string, 16)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		begun <- r.URL.Path
		w.Header().Set("Content-Length", strconv.Itoa(length))
		w.WriteHeader(http.StatusOK)
		_, _ = w.Write(body)
		w.(http.Flusher).Flush()
	}), begun
}

// dialSlowly connects a client whose kernel takes little that it does not read.
func dialSlowly(t *testing.T, s *Server) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, reader := dialServer(t, s)
	if err := c.(*net.TCPConn).SetReadBuffer(smallBuffer); err != nil {
		t.Fatal(err)
	}
	return c, reader
}

func wantWhole(t *testing.T, reader *bufio.Reader, length int) {
	t.Helper()
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil || int(n) != length || resp.StatusCode != http.StatusOK {
		t.Errorf("status %d, %d of %d bytes, %v", resp.StatusCode, n, length, err)
	}
}

// Whatever arrives behind a request must not break off its answer, neither while the answer is written nor while
// it lies in the kernel's buffer.
func TestWhatArrivesBehindARequestDoesNotCutItsAnswer(t *testing.T) {
	const request = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
	for name, c := range map[string]struct{ request, behind string }{
		"malformed request":        {request, "not a request\r\n\r\n"},
		"header that is too long":  {request, "GET /b HTTP/1.1\r\nA: " + strings.Repeat("a", 64<<10)},
		"part of a request":        {request, "GET /b HTT"},
		"part of a body":           {request, "POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nfive"},
		"rest of the request body": {"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4000000\r\n\r\n" + strings.Repeat("b", 2_500_000), strings.Repeat("b", 500_000)},
		"behind HTTP/1.0":          {"GET /a HTTP/1.0\r\n\r\n", request},
	} {
		for place, size := range map[string]int{"written": answerBytes, "in the kernel": heldBytes} {
			t.Run(name+", "+place, func(t *testing.T) {
				t.Parallel()
				handler, begun := answering(size)
				s := startServer(t, Options{
					Handler: handler, HeaderTimeout: shortTimeout, BodyTimeout: shortTimeout, MaxBodyBytes: 8 << 20,
					BodyAdmitter: newEagerAdmitter(),
				})
				client, reader := dialSlowly(t, s)
				_, _ = io.WriteString(client, c.request)
				<-begun
				time.Sleep(50 * time.Millisecond)
				_, _ = io.WriteString(client, c.behind)
				time.Sleep(lingerTimeout + 2*shortTimeout)
				_, _ = io.WriteString(client, "late")
				time.Sleep(50 * time.Millisecond)
				wantWhole(t, reader, size)
			})
		}
	}
}

// newEagerAdmitter admits all bodies and has requests dispatched at half of them.
func newEagerAdmitter() *limitedAdmitter {
	a := &limitedAdmitter{limit: 8 << 20}
	a.free.Store(1 << 30)
	return a
}

// A client that reads slowly but steadily must get the whole answer, though that takes longer than WriteTimeout.
func TestSlowReaderGetsTheWholeAnswer(t *testing.T) {
	const timeout, steps, step = time.Second, 3, 256 << 10
	handler, _ := answering(answerBytes)
	s := startServer(t, Options{Handler: handler, WriteTimeout: timeout})
	client, reader := dialSlowly(t, s)
	_, _ = io.WriteString(client, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n")
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	for range steps {
		time.Sleep(timeout / 2)
		if _, err := io.CopyN(io.Discard, resp.Body, step); err != nil {
			t.Fatal(err)
		}
	}
	if n, err := io.Copy(io.Discard, resp.Body); err != nil || n != answerBytes-steps*step {
		t.Errorf("%d more bytes, %v", n, err)
	}
}

// A client that reads nothing must not be waited for without end.
func TestClientThatReadsNothingIsCut(t *testing.T) {
	handler, begun := answering(answerBytes)
	s := startServer(t, Options{Handler: handler, WriteTimeout: shortTimeout})
	client, _ := dialSlowly(t, s)
	_, _ = io.WriteString(client, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n")
	<-begun
	for s.ActiveRequests() > 0 || s.openConnections.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// A process that stops must know of answers that its clients have not got yet: they are lost if it ends before.
func TestAnswersInTheKernelCountAsUndelivered(t *testing.T) {
	handler, begun := answering(heldBytes)
	s := startServer(t, Options{Handler: handler})
	client, reader := dialSlowly(t, s)
	_, _ = io.WriteString(client, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n")
	<-begun
	for s.ActiveRequests() > 0 {
		time.Sleep(time.Millisecond)
	}
	if n := s.Undelivered(); n != 1 {
		t.Errorf("%d connections with undelivered answers, want 1", n)
	}
	wantWhole(t, reader, heldBytes)
	for s.Undelivered() > 0 {
		time.Sleep(time.Millisecond)
	}
}
