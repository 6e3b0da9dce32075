package forward

import (
	"net"
	"net/http"
	"testing"

	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
)

// These tests show why the connections to targets do not use the client of
// nbhttp v1.6.8, and fail should a later version do better. Each is a target
// that is within HTTP or breaks it in a way that must not harm another caller.

// libraryAnswers sends two requests one after the other on one connection of
// nbhttp's client and returns the bodies of the answers.
func libraryAnswers(t *testing.T, script func(p *peer)) []string {
	t.Helper()
	logging.SetLevel(logging.LevelNone)
	engine := nbhttp.NewEngine(nbhttp.Config{})
	if err := engine.Start(); err != nil {
		t.Fatal(err)
	}
	defer engine.Stop()
	conn := open(t, script)
	client := &nbhttp.ClientConn{Engine: engine, Dial: func(string, string) (net.Conn, error) { return conn, nil }}
	defer client.Close()
	var bodies []string
	for range 2 {
		bodies = append(bodies, libraryAnswer(t, client))
	}
	return bodies
}

func libraryAnswer(t *testing.T, client *nbhttp.ClientConn) string {
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

// A target answers "100 Continue" first, as HTTP allows. The library takes it
// for the answer and gives the real one to the next caller.
func TestLibraryTakesInformationalForFinal(t *testing.T) {
	got := libraryAnswers(t, answers("HTTP/1.1 100 Continue\r\n\r\n", answerWith("one")))
	if got[1] != "one" {
		t.Fatalf("answers %q: the second caller no longer gets the first one's answer", got)
	}
}

// A target sends the beginning of a second answer with the first. The library
// goes on using the connection and gives that answer to the next caller.
func TestLibraryGivesStrayAnswerToTheNextCaller(t *testing.T) {
	stray := answerWith("two")
	got := libraryAnswers(t, answers(answerWith("one")+stray[:20], stray[20:]+answerWith("own")))
	if got[1] != "two" {
		t.Fatalf("answers %q: the second caller no longer gets the stray answer", got)
	}
}

// A target's answer ends with the connection and is cut. The library passes
// off an empty body as the whole answer.
func TestLibraryPassesOffCutAnswer(t *testing.T) {
	got := libraryAnswers(t, answers("HTTP/1.0 200 OK\r\n\r\n"))
	if got[0] != "" {
		t.Fatalf("answers %q: a cut answer is no longer passed off as whole", got)
	}
}
