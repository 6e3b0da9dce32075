package forward

import (
	"net/http"
	"strings"
	"testing"

	"github.com/yuccaroute/yuccaroute/api/result"
)

// malformedFields are heads with field lines that HTTP does not allow, by what is wrong.
var malformedFields = map[string]string{
	"blank in a name":            "HTTP/1.1 200 OK\r\nX Odd: a\r\nContent-Length: 3\r\n",
	"blank before the colon":     "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n",
	"blank in the coding's name": "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n",
	"blank before a name":        "HTTP/1.1 200 OK\r\nX-Stamp: s\r\n X-Odd: a\r\nContent-Length: 3\r\n",
	"tab before a name":          "HTTP/1.1 200 OK\r\nX-Stamp: s\r\n\tX-Odd: a\r\nContent-Length: 3\r\n",
	"tab in a name":              "HTTP/1.1 200 OK\r\nX\tOdd: a\r\nContent-Length: 3\r\n",
	"NUL in a name":              "HTTP/1.1 200 OK\r\nX\x00Odd: a\r\nContent-Length: 3\r\n",
	"control byte in a name":     "HTTP/1.1 200 OK\r\nX\x1bOdd: a\r\nContent-Length: 3\r\n",
	"DEL in a name":              "HTTP/1.1 200 OK\r\nX\x7fOdd: a\r\nContent-Length: 3\r\n",
	"0x80 in a name":             "HTTP/1.1 200 OK\r\nX\x80Odd: a\r\nContent-Length: 3\r\n",
	"coding in HTTP/1.0":         "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
	"fold after a long head":     "HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", 3*readBufferBytes) + "\r\nX-Stamp: s\r\n more\r\nContent-Length: 3\r\n",
	"in a refusal":               "HTTP/1.1 503 Busy\r\nYucca-Shed: 1\r\nX-Not-Run: 1\r\nX Odd: a\r\nContent-Length: 3\r\n",
	"in an informational one":    "HTTP/1.1 103 Early\r\nX Odd: a\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: this\r\nContent-Length: 3\r\n",
	"in one that is discarded":   "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length : 0\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: this\r\nContent-Length: 3\r\n",
}

// Guards against answers of targets in trouble that are passed on, whose fields count, or whose body is framed by
// something else than the target meant. Such an answer does not show whether the request ran.
func TestMalformedHeadIsNoResponse(t *testing.T) {
	for name, head := range malformedFields {
		t.Run(name, func(t *testing.T) { checkMalformedHead(t, head) })
	}
}

// malformedStatusLines are status lines that HTTP/1 does not allow.
var malformedStatusLines = []string{
	"HTTP/1.1 000 x", "HTTP/1.1 099 x", "HTTP/1.1 +20 x", "HTTP/1.1 -01 x", "HTTP/1.1 20 x", "HTTP/1.1 600 x", "HTTP/1.1 999 x",
	"HTTP/9.9 200 x", "HTTP/2.0 200 x", "HTTP/0.0 200 x", "HTTP/1.1 200 a\x01b", "HTTP/1.1 200 a\x00b", "HTTP/1.1 200 a\rb",
	"HTTP/1.1 200 \x7f",
}

// Guards against bytes that are no answer being passed on as one, or skipped as an informational one.
func TestMalformedStatusLineIsNoResponse(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nX-Id: this\r\nContent-Length: 3\r\n"
	for _, line := range malformedStatusLines {
		t.Run(line, func(t *testing.T) {
			checkMalformedHead(t, line+"\r\nContent-Length: 3\r\n")
			checkMalformedHead(t, line+"\r\n\r\n"+sound)
		})
	}
}

// checkMalformedHead sends a request, with and without a dialect, to a target that answers with the head.
func checkMalformedHead(t *testing.T, head string) {
	for _, dialect := range []*Dialect{nil, {DeadlineField: "X-Deadline", IDField: "X-Id", ID: "this", CloseDelimited: true}} {
		text := head + "\r\nabc"
		if dialect != nil && !strings.Contains(text, "X-Id:") {
			line, rest, _ := strings.Cut(text, "\r\n")
			text = line + "\r\nX-Id: this\r\n" + rest
		}
		c := newTestConn(t, func(p *scriptedTarget) {
			p.readRequest()
			p.write(text)
		})
		r := newPost("order")
		r.Dialect = dialect
		r.HeaderReceived = func(status int, h http.Header) { t.Errorf("status %d with %v was acted on", status, h) }
		resp, err := c.Exchange(background, r)
		if err == nil {
			t.Fatalf("%q was accepted as %+v", text, resp)
		}
		failed := err.(*Error)
		if result.InfoOf(failed.Code).Outcome != result.Unknown || failed.NotRun() || c.Reusable() {
			t.Errorf("%v, not run %v, reusable %v", err, failed.NotRun(), c.Reusable())
		}
	}
}

// Heads that fill the read buffer several times must be read as before.
func TestLongHeadIsRead(t *testing.T) {
	long := strings.Repeat("x", 3*readBufferBytes)
	c := newTestConn(t, respondWith("HTTP/1.1 200 OK\r\nX-Long: "+long+"\r\nContent-Length: 3\r\n\r\nabc", okResponse("two")))
	resp, err := c.Exchange(background, newGet("/stock"))
	if err != nil || string(resp.Body) != "abc" || resp.Header.Get("X-Long") != long {
		t.Fatalf("%v", err)
	}
	if resp, err := c.Exchange(background, newGet("/stock")); err != nil || string(resp.Body) != "two" {
		t.Fatalf("%+v, %v", resp, err)
	}
}
