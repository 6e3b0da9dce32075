package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/proxy/ingress"
)

// halfBytes is half of an upload in the tests.
const halfBytes = 512 << 10

// serveUploads returns a server that starts to forward uploads at half of their
// body, because the estimated send time is very long.
func serveUploads(t *testing.T, run ...script) (*Proxy, *ingress.Server, []*scriptedTarget) {
	t.Helper()
	var targets []*scriptedTarget
	var addresses []string
	for _, one := range run {
		target := newScriptedTarget(t, one)
		targets = append(targets, target)
		addresses = append(addresses, target.address())
	}
	change := func(o *Options, m *model.Account) {
		withKeptAnswers(o, m)
		o.StreamAhead = time.Hour
	}
	p := newTestProxy(t, change, addresses...)
	p.current.Load().accounts[testAccount].services[testService].state.sendTime.observe(1, time.Hour)
	return p, startIngress(t, p), targets
}

// halfBody returns half of an upload body filled with one byte.
func halfBody(fill byte) []byte { return bytes.Repeat([]byte{fill}, halfBytes) }

const postUpload = "POST /orders HTTP/1.1\r\n"

// beginUpload sends a request head and the first half of its body.
func beginUpload(t *testing.T, s *ingress.Server, head string, fill byte) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, reader := dialCaller(t, s)
	_, _ = io.WriteString(conn, head+requestHead+"Content-Length: "+strconv.Itoa(2*halfBytes)+"\r\n\r\n")
	_, _ = conn.Write(halfBody(fill))
	return conn, reader
}

// readHalf reads a request head and half of its body.
func (c *scriptedConn) readHalf() *http.Request {
	r, err := c.readHead()
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

// respondChecksum answers each request with the checksum of its body.
func respondChecksum(c *scriptedConn) {
	for {
		r, err := c.readHead()
		if err != nil {
			return
		}
		sum := crc32.NewIEEE()
		if _, err := io.Copy(sum, r.Body); err != nil {
			return
		}
		c.target.requests.Add(1)
		c.respond(answerText("200 OK", strconv.FormatUint(uint64(sum.Sum32()), 10)))
	}
}

func checksumOf(fill byte) string {
	whole := append(halfBody(fill), halfBody(fill)...)
	return strconv.FormatUint(uint64(crc32.ChecksumIEEE(whole)), 10)
}

// wantAnswer checks result and body of a response, and whether it closes the
// connection.
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

// wantIdle waits until no request is in flight and all their resources are
// free.
func wantIdle(t *testing.T, p *Proxy) {
	t.Helper()
	waitUntil(func() bool { return p.InFlight() == 0 && p.bytes.Used() == 0 })
	for _, m := range onlyPlace(p).targets.Load().members {
		if n := m.state.Outstanding(); n != 0 {
			t.Fatalf("%d slots taken", n)
		}
	}
}

// Uploads forwarded at the same time must not mix their bodies or answers, and
// connections to targets must be reused.
func TestInterleavedUploadsGetTheirOwnAnswers(t *testing.T) {
	p, s, targets := serveUploads(t, respondChecksum)
	first, firstReader := beginUpload(t, s, postUpload, 'a')
	second, secondReader := beginUpload(t, s, postUpload, 'b')
	waitUntil(func() bool { return p.InFlight() == 2 })
	_, _ = second.Write(halfBody('b'))
	wantAnswer(t, secondReader, result.OK, checksumOf('b'), false)
	_, _ = first.Write(append(halfBody('a'), "GET /stock HTTP/1.1\r\n"+requestHead+"\r\n"...))
	wantAnswer(t, firstReader, result.OK, checksumOf('a'), false)
	wantAnswer(t, firstReader, result.OK, "0", false)
	wantIdle(t, p)
	if n := targets[0].connections.Load(); n != 2 {
		t.Errorf("%d connections to the target", n)
	}
}

// Uploads with a key must be compared by their whole body and so not be
// streamed.
func TestUploadsWithSameKeyAreCompared(t *testing.T) {
	p, s, targets := serveUploads(t, respondChecksum)
	fields := http.Header{result.HeaderAccount: {testAccount}, result.HeaderService: {testService}, result.HeaderKey: {"o-1"}}
	if reservation, code := p.ReserveBody(fields, 2*halfBytes); code != result.OK || reservation.LeadTime != 0 {
		t.Errorf("code %d, streamed %s ahead", code, reservation.LeadTime)
	} else {
		reservation.Release()
	}
	keyed := postUpload + "Idempotency-Key: o-1\r\n"
	first, firstReader := beginUpload(t, s, keyed, 'a')
	_, _ = first.Write(halfBody('a'))
	wantAnswer(t, firstReader, result.OK, checksumOf('a'), false)
	second, secondReader := beginUpload(t, s, keyed, 'b')
	_, _ = second.Write(halfBody('b'))
	wantAnswer(t, secondReader, result.KeyReused, "", false)
	targets[0].wantRequests(t, 1)
}

// If the caller disconnects during an upload, the target must see its
// connection reset at once, never a complete body, and the slot must be
// released.
func TestCallerDisconnectDuringUploadReleasesSlot(t *testing.T) {
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
	if err := <-ended; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the target read the rest of the body with error %v", err)
	}
	wantIdle(t, p)
}

// If the target fails during an upload, the caller gets an unknown outcome at
// once, and the rest of the body must not be read as another request.
func TestTargetFailureDuringUpload(t *testing.T) {
	p, s, targets := serveUploads(t, func(c *scriptedConn) { c.readHalf() })
	conn, reader := beginUpload(t, s, postUpload, 'a')
	wantAnswer(t, reader, result.ConnectionLost, "", true)
	_, _ = io.WriteString(conn, "POST /orders HTTP/1.1\r\n"+requestHead+"Content-Length: 1\r\n\r\nx")
	if rest, _ := io.ReadAll(reader); len(rest) > 0 {
		t.Errorf("rest of the body answered with %q", rest)
	}
	wantIdle(t, p)
	targets[0].wantRequests(t, 1)
}

// An idempotent upload whose target fails must be sent to another target in
// full.
func TestIdempotentUploadIsRetriedInFull(t *testing.T) {
	var died atomic.Bool
	run := func(c *scriptedConn) {
		if died.CompareAndSwap(false, true) {
			c.readHalf()
			return
		}
		respondChecksum(c)
	}
	p, s, _ := serveUploads(t, run, run)
	conn, reader := beginUpload(t, s, "PUT /stock HTTP/1.1\r\n", 'a')
	waitUntil(died.Load)
	_, _ = conn.Write(halfBody('a'))
	wantAnswer(t, reader, result.OK, checksumOf('a'), false)
	wantIdle(t, p)
}

// An answer before the end of the body must reach the caller at once, and
// neither connection may be reused.
func TestTargetAnswerDuringUpload(t *testing.T) {
	closed := make(chan struct{})
	p, s, _ := serveUploads(t, func(c *scriptedConn) {
		r, err := c.readHead()
		if err == nil && r.ContentLength > 0 {
			c.respond(answerText("413 Content Too Large", "no"))
			_, _ = io.Copy(io.Discard, c.reader)
			close(closed)
			return
		}
		c.respond(okAnswer)
	})
	_, reader := beginUpload(t, s, postUpload, 'a')
	wantAnswer(t, reader, result.OK, "no", true)
	wantIdle(t, p)
	<-closed
	if w := callWithinGrant(p, "GET", "/stock", ""); w.Body.String() != "ok" {
		t.Errorf("the next caller got %q", w.Body.String())
	}
}

// An upload that a target begins to read only after a second must not be broken off.
func TestUploadThatATargetReadsLateIsSent(t *testing.T) {
	target := newScriptedTarget(t, func(c *scriptedConn) {
		time.Sleep(time.Second)
		respondChecksum(c)
	})
	p := newTestProxy(t, nil, target.address())
	s := startIngress(t, p)
	conn, reader := beginUpload(t, s, postUpload, 'u')
	_, _ = conn.Write(halfBody('u'))
	wantAnswer(t, reader, result.OK, checksumOf('u'), false)
}
