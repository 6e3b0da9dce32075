package proxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/proxy/ingress"
)

const requestHead = "Yucca-Account: " + testAccount + "\r\nYucca-Service: " + testService + "\r\n"

func startIngress(t *testing.T, p *Proxy) *ingress.Server {
	t.Helper()
	s, err := ingress.Start(ingress.Options{Address: "127.0.0.1:0", Handler: p, BodyAdmitter: p})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Stop(context.Background()) })
	return s
}

func dialCaller(t *testing.T, s *ingress.Server) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c, bufio.NewReader(c)
}

// Guards against a slot that stays taken until the deadline after the caller
// has disconnected.
func TestCallerDisconnectReleasesSlot(t *testing.T) {
	got, ended := make(chan struct{}), make(chan struct{})
	target := newScriptedTarget(t, func(c *scriptedConn) {
		if c.next() == nil {
			return
		}
		close(got)
		c.next()
		close(ended)
	})
	p := newTestProxy(t, nil, target.address())
	conn, _ := dialCaller(t, startIngress(t, p))
	_, _ = io.WriteString(conn, "POST /orders HTTP/1.1\r\n"+requestHead+"Yucca-Deadline-Ms: 600000\r\nContent-Length: 1\r\n\r\nx")
	<-got
	conn.Close()
	<-ended
	waitUntil(func() bool { return p.InFlight() == 0 })
	for _, m := range onlyPlace(p).targets.Load().members {
		if n := m.state.Outstanding(); n != 0 {
			t.Fatalf("%d slots taken", n)
		}
	}
}

func onlyPlace(p *Proxy) *placeState {
	return p.current.Load().accounts[testAccount].services[testService].places[testPlace]
}

// Answers of all forms must reach the caller unchanged and in the order of its
// requests.
func TestAnswersOverOneCallerConnection(t *testing.T) {
	target := newScriptedTarget(t, func(c *scriptedConn) {
		for r := c.next(); r != nil; r = c.next() {
			switch r.URL.Path {
			case "/stock/empty":
				c.respond("HTTP/1.1 204 No Content\r\n\r\n")
			case "/stock/chunked":
				c.respond("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n3\r\ndef\r\n0\r\n\r\n")
			case "/stock/strange":
				c.respond("HTTP/1.1 599 Strange\r\nContent-Length: 2\r\n\r\nno")
			case "/stock/head":
				c.respond("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n")
			default:
				c.respond(okAnswer)
			}
		}
	})
	p := newTestProxy(t, nil, target.address())
	conn, reader := dialCaller(t, startIngress(t, p))
	for _, c := range []struct {
		method, path string
		status       int
		body         string
	}{
		{"GET", "/stock/empty", 204, ""},
		{"GET", "/stock/chunked", 200, "abcdef"},
		{"POST", "/stock/strange", 500, "no"},
		{"HEAD", "/stock/head", 200, ""},
		{"GET", "/stock/plain", 200, "ok"},
	} {
		_, _ = io.WriteString(conn, c.method+" "+c.path+" HTTP/1.1\r\nHost: x\r\n"+requestHead+"\r\n")
		resp, err := http.ReadResponse(reader, &http.Request{Method: c.method})
		if err != nil {
			t.Fatalf("%s: %v", c.path, err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || resp.StatusCode != c.status || string(body) != c.body {
			t.Fatalf("%s: %d %q %v", c.path, resp.StatusCode, body, err)
		}
		if resp.Header.Get(result.HeaderOutcome) != "ran" {
			t.Fatalf("%s: %v", c.path, resp.Header)
		}
	}
}

// Uploads above the service's limit or the account's memory must be refused
// before their bodies are read, without reaching the target.
func TestOversizedUploadsAreRefused(t *testing.T) {
	p, target := newServingProxy(t, nil)
	s := startIngress(t, p)
	conn, reader := dialCaller(t, s)
	_, _ = io.WriteString(conn, "POST /orders HTTP/1.1\r\n"+requestHead+"Content-Length: 1048577\r\n\r\n")
	wantCallerResult(t, reader, "103")
	share := p.current.Load().accounts[testAccount].bytes
	if !share.Take(200 << 20) {
		t.Fatal("account memory is smaller than expected")
	}
	for share.Take(1 << 20) {
	}
	conn, reader = dialCaller(t, s)
	_, _ = io.WriteString(conn, "POST /orders HTTP/1.1\r\n"+requestHead+"Content-Length: 1000000\r\n\r\n")
	wantCallerResult(t, reader, "113")
	target.wantRequests(t, 0)
}

func wantCallerResult(t *testing.T, reader *bufio.Reader, want string) {
	t.Helper()
	if got := resultOf(reader); got != want {
		t.Fatalf("result %s, want %s", got, want)
	}
}

// resultOf reads a response and returns its result number, or the error.
func resultOf(reader *bufio.Reader) string {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err.Error()
	}
	return resp.Header.Get(result.HeaderResult)
}

func TestMalformedHeadersAreRefused(t *testing.T) {
	p := newTestProxy(t, nil)
	for _, c := range []struct {
		fields []string
		want   result.Code
	}{
		{[]string{result.HeaderDeadline, "0"}, result.BadDeadline},
		{[]string{result.HeaderDeadline, "-5"}, result.BadDeadline},
		{[]string{result.HeaderDeadline, "soon"}, result.BadDeadline},
		{[]string{result.HeaderDeadline, "99999999999999999999"}, result.BadDeadline},
		{[]string{result.HeaderKey, strings.Repeat("k", 129)}, result.BadRequest},
		{[]string{result.HeaderKey, "a b"}, result.BadRequest},
		{[]string{result.HeaderAccount, "nobody"}, result.UnknownAccount},
		{[]string{result.HeaderAccount, ""}, result.BadRequest},
		{[]string{result.HeaderService, "nothing"}, result.UnknownService},
	} {
		wantResult(t, call(p, http.MethodPost, "/orders", "x", c.fields...), c.want)
	}
}

// A path that the target may normalize to a non-idempotent route must not be
// retried.
func TestNonCanonicalPathsAreNotIdempotent(t *testing.T) {
	for _, path := range []string{"/stock/../orders", "/stock/./x", "/stock//x", "/stock/%2e%2e/orders", "/stock%2Forders"} {
		cut := newScriptedTarget(t, cutAfterRequest)
		p := newTestProxy(t, nil, cut.address(), cut.address())
		call(p, http.MethodGet, path, "")
		if n := cut.requests.Load(); n != 1 {
			t.Fatalf("%s was sent %d times", path, n)
		}
	}
}
