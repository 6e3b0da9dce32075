package proxy

import (
	"bufio"
	"bytes"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/proxy/ingress"
)

// halfBytes is half of an upload in the tests.
const halfBytes = 512 << 10

// serveUploads returns a server that sends uploads on as soon as half of them
// has come: bodies seem to take very long to the targets.
func serveUploads(t *testing.T, run ...script) (*Proxy, *ingress.Server, []*scripted) {
	t.Helper()
	var targets []*scripted
	var addresses []string
	for _, one := range run {
		target := newScripted(t, one)
		targets = append(targets, target)
		addresses = append(addresses, target.address())
	}
	change := func(o *Options, m *model.Account) {
		withKept(o, m)
		o.StreamAhead = time.Hour
	}
	p := newTestProxy(t, change, addresses...)
	p.current.Load().accounts[testAccount].services[testService].state.sending.observe(1, time.Hour)
	return p, serveCallers(t, p), targets
}

// half returns one half of an upload, told apart by its bytes.
func half(fill byte) []byte { return bytes.Repeat([]byte{fill}, halfBytes) }

const postUpload = "POST /orders HTTP/1.1\r\n"

// beginUpload sends a head and the first half of its body.
func beginUpload(t *testing.T, s *ingress.Server, head string, fill byte) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, reader := dialCaller(t, s)
	_, _ = io.WriteString(conn, head+requestHead+"Content-Length: "+strconv.Itoa(2*halfBytes)+"\r\n\r\n")
	_, _ = conn.Write(half(fill))
	return conn, reader
}

// readHalf reads a head and half of its body.
func (c *scriptedConn) readHalf() *http.Request {
	r, err := http.ReadRequest(c.reader)
	if err != nil {
		return nil
	}
	if _, err := io.CopyN(io.Discard, r.Body, halfBytes); err != nil {
		return nil
	}
	c.target.requests.Add(1)
	return r
}

func answerText(status, body string) string {
	return "HTTP/1.1 " + status + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// sayChecksum reads whole requests and answers each with its body's checksum.
func sayChecksum(c *scriptedConn) {
	for {
		r, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		sum := crc32.NewIEEE()
		if _, err := io.Copy(sum, r.Body); err != nil {
			return
		}
		c.target.requests.Add(1)
		c.say(answerText("200 OK", strconv.FormatUint(uint64(sum.Sum32()), 10)))
	}
}

func checksumOf(fill byte) string {
	whole := append(half(fill), half(fill)...)
	return strconv.FormatUint(uint64(crc32.ChecksumIEEE(whole)), 10)
}

// wantAnswer checks result and body of an answer, and whether the connection
// may be used again.
func wantAnswer(t *testing.T, reader *bufio.Reader, code result.Code, body string, closes bool) {
	t.Helper()
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if got := resp.Header.Get(result.HeaderResult); got != strconv.Itoa(int(code)) || resp.Close != closes {
		t.Fatalf("result %s, close %t; want %d, %t; body %q", got, resp.Close, code, closes, text)
	}
	if code == result.OK && string(text) != body {
		t.Fatalf("body %q, want %q", text, body)
	}
}

// wantIdle waits until nothing is in hand and all that requests held is free.
func wantIdle(t *testing.T, p *Proxy) {
	t.Helper()
	until(func() bool { return p.InFlight() == 0 && p.bytes.Used() == 0 })
	for _, m := range onlyPlace(p).targets.Load().members {
		if n := m.state.Outstanding(); n != 0 {
			t.Fatalf("%d slots taken", n)
		}
	}
}

// Two warehouses upload their scans at the same time, piece by piece in turn.
// Each target has half of a body before the other half exists. Each caller gets
// the answer to its own body, twice over one connection, and the connections
// to the targets are used again.
func TestUploadsInTurnGetTheirOwnAnswers(t *testing.T) {
	p, s, targets := serveUploads(t, sayChecksum)
	first, firstReader := beginUpload(t, s, postUpload, 'a')
	second, secondReader := beginUpload(t, s, postUpload, 'b')
	until(func() bool { return p.InFlight() == 2 })
	_, _ = second.Write(half('b'))
	wantAnswer(t, secondReader, result.OK, checksumOf('b'), false)
	_, _ = first.Write(append(half('a'), "GET /stock HTTP/1.1\r\n"+requestHead+"\r\n"...))
	wantAnswer(t, firstReader, result.OK, checksumOf('a'), false)
	wantAnswer(t, firstReader, result.OK, "0", false)
	wantIdle(t, p)
	if n := targets[0].connections.Load(); n != 2 {
		t.Errorf("%d connections to the target", n)
	}
}

// A contractor's client uses one key for two flock registers. The second one
// must not get the first one's confirmation: it is compared with it by its whole
// body, which an upload that is sent on early does not have.
func TestUploadsUnderOneKeyAreCompared(t *testing.T) {
	p, s, targets := serveUploads(t, sayChecksum)
	fields := http.Header{result.HeaderAccount: {testAccount}, result.HeaderService: {testService}, result.HeaderKey: {"o-1"}}
	if reservation, code := p.ReserveBody(fields, 2*halfBytes); code != result.OK || reservation.LeadTime != 0 {
		t.Errorf("%d, sent on %s early", code, reservation.LeadTime)
	} else {
		reservation.Release()
	}
	keyed := postUpload + "Idempotency-Key: o-1\r\n"
	first, firstReader := beginUpload(t, s, keyed, 'a')
	_, _ = first.Write(half('a'))
	wantAnswer(t, firstReader, result.OK, checksumOf('a'), false)
	second, secondReader := beginUpload(t, s, keyed, 'b')
	_, _ = second.Write(half('b'))
	wantAnswer(t, secondReader, result.KeyReused, "", false)
	targets[0].wantRequests(t, 1)
}

// A warehouse's link breaks in mid-upload, with half of the body at the target.
// The target must see its connection close, at once and not at the deadline,
// and its slot must be free; it must never see the half as a whole.
func TestCallerThatStopsInMidUploadFreesItsSlot(t *testing.T) {
	got, ended := make(chan struct{}), make(chan error, 1)
	p, s, _ := serveUploads(t, func(c *scriptedConn) {
		r := c.readHalf()
		if r == nil {
			return
		}
		close(got)
		_, err := io.Copy(io.Discard, r.Body)
		ended <- err
	})
	conn, _ := beginUpload(t, s, postUpload, 'a')
	<-got
	conn.Close()
	if err := <-ended; err != io.ErrUnexpectedEOF {
		t.Errorf("the target read the rest with %v", err)
	}
	wantIdle(t, p)
}

// A target dies with half of an upload. The caller is told at once, before it
// has sent the rest, that the outcome is unknown, and nobody else gets the
// upload. What the caller still sends must not be read as its next request.
func TestTargetThatDiesInMidUpload(t *testing.T) {
	p, s, targets := serveUploads(t, func(c *scriptedConn) { c.readHalf() })
	conn, reader := beginUpload(t, s, postUpload, 'a')
	wantAnswer(t, reader, result.ConnectionLost, "", true)
	_, _ = io.WriteString(conn, "POST /orders HTTP/1.1\r\n"+requestHead+"Content-Length: 1\r\n\r\nx")
	if rest, _ := io.ReadAll(reader); len(rest) > 0 {
		t.Errorf("answered %q", rest)
	}
	wantIdle(t, p)
	targets[0].wantRequests(t, 1)
}

// The same with an upload that may run twice: all that has come is still in
// memory, and another target gets the whole body.
func TestIdempotentUploadIsSentAgainWhole(t *testing.T) {
	var died atomic.Bool
	run := func(c *scriptedConn) {
		if died.CompareAndSwap(false, true) {
			c.readHalf()
			return
		}
		sayChecksum(c)
	}
	p, s, _ := serveUploads(t, run, run)
	conn, reader := beginUpload(t, s, "PUT /stock HTTP/1.1\r\n", 'a')
	until(died.Load)
	_, _ = conn.Write(half('a'))
	wantAnswer(t, reader, result.OK, checksumOf('a'), false)
	wantIdle(t, p)
}

// A target refuses an upload at its head and keeps its connection open. Its
// answer reaches the caller before the rest of the body was sent; neither
// connection is used again, as the rest would be read as a request.
func TestTargetThatAnswersInMidUpload(t *testing.T) {
	closed := make(chan struct{})
	p, s, _ := serveUploads(t, func(c *scriptedConn) {
		r, err := http.ReadRequest(c.reader)
		if err == nil && r.ContentLength > 0 {
			c.say(answerText("413 Content Too Large", "no"))
			_, _ = io.Copy(io.Discard, c.reader)
			close(closed)
			return
		}
		c.say(okAnswer)
	})
	_, reader := beginUpload(t, s, postUpload, 'a')
	wantAnswer(t, reader, result.OK, "no", true)
	wantIdle(t, p)
	<-closed
	if w := callWithinGrant(p, "GET", "/stock", ""); w.Body.String() != "ok" {
		t.Errorf("the next caller got %q", w.Body.String())
	}
}
