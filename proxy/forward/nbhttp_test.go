package forward

import (
	"net"
	"net/http"
	"testing"

	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
)

// These tests document faults of the nbhttp client that rule it out for target
// connections. They fail once the library mends them.

// exchangeTwice sends two requests over one nbhttp client connection and returns
// the response bodies.
func exchangeTwice(t *testing.T, script func(p *scriptedTarget)) []string {
	t.Helper()
	logging.SetLevel(logging.LevelNone)
	engine := nbhttp.NewEngine(nbhttp.Config{})
	if err := engine.Start(); err != nil {
		t.Fatal(err)
	}
	defer engine.Stop()
	conn := dialTarget(t, script)
	client := &nbhttp.ClientConn{Engine: engine, Dial: func(string, string) (net.Conn, error) { return conn, nil }}
	defer client.Close()
	var bodies []string
	for range 2 {
		bodies = append(bodies, clientExchange(t, client))
	}
	return bodies
}

func clientExchange(t *testing.T, client *nbhttp.ClientConn) string {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, "http://127.0.0.1:1/stock", nil)
	if err != nil {
		t.Fatal(err)
	}
	body := make(chan string, 1)
	client.Do(r, func(resp *http.Response, _ net.Conn, err error) {
		if err != nil {
			body <- "error"
			return
		}
		text := make([]byte, 64)
		n := 0
		if resp.Body != nil {
			n, _ = resp.Body.Read(text)
		}
		body <- string(text[:n])
	})
	return <-body
}

// The client takes "100 Continue" for the final response and delivers the real
// one to the next request.
func TestNbhttpClientTreatsInformationalAsFinal(t *testing.T) {
	got := exchangeTwice(t, respondWith("HTTP/1.1 100 Continue\r\n\r\n", okResponse("one")))
	if got[1] != "one" {
		t.Fatalf("bodies %q: the second request no longer gets the first one's response", got)
	}
}

// The client reuses a connection with a partial second response and delivers
// that response to the next request.
func TestNbhttpClientDeliversUnsolicitedResponse(t *testing.T) {
	unsolicited := okResponse("two")
	got := exchangeTwice(t, respondWith(okResponse("one")+unsolicited[:20], unsolicited[20:]+okResponse("own")))
	if got[1] != "two" {
		t.Fatalf("bodies %q: the second request no longer gets the unsolicited response", got)
	}
}

// The client accepts a truncated close-delimited response as complete.
func TestNbhttpClientAcceptsTruncatedResponse(t *testing.T) {
	got := exchangeTwice(t, respondWith("HTTP/1.0 200 OK\r\n\r\n"))
	if got[0] != "" {
		t.Fatalf("bodies %q: a truncated response is no longer accepted as complete", got)
	}
}
