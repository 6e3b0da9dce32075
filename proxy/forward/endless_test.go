package forward

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/yuccaroute/yuccaroute/api/result"
)

// endless returns a script that writes start and then more without end, until the caller closes, and counts the
// bytes in sent.
func endless(start, more string, sent *atomic.Int64) func(p *scriptedTarget) {
	block := strings.Repeat(more, 1+(8<<10)/len(more))
	return func(p *scriptedTarget) {
		p.readRequest()
		p.write(start)
		for {
			n, err := io.WriteString(p.Conn, block)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	}
}

// countingMemory records the most that was reserved.
type countingMemory struct{ held, most int64 }

func (m *countingMemory) Take(n int64) bool {
	m.held += n
	m.most = max(m.most, m.held)
	return true
}

func (m *countingMemory) Give(n int64) { m.held -= n }

// Bytes that a target sends without end must end the exchange with an unknown outcome, long before the deadline and
// within the limit of memory, and the connection must not be used again.
func TestEndlessResponses(t *testing.T) {
	const limit = 1 << 20
	const okay = "HTTP/1.1 200 OK\r\n"
	// Bytes that may be read: a header, and a body with its framing, of a late response and of the one after it.
	const head, bodies = maxHeaderBytes, 2 * (maxHeaderBytes + limit + maxFramingBytes)
	for name, c := range map[string]struct {
		start, more string
		most        int64
	}{
		"no line end":                  {"", "garbage", head},
		"zeros":                        {"", "\x00", head},
		"status lines":                 {"", "HTTP/1.1 200 OK\r\n", head},
		"header fields":                {okay, "A: b\r\n", head},
		"one header field":             {okay + "A: ", "b", head},
		"informational responses":      {"", "HTTP/1.1 100 Continue\r\n\r\n", head},
		"informational header":         {"HTTP/1.1 103 Early Hints\r\n", "Link: a\r\n", head},
		"chunks":                       {okay + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n", bodies},
		"small chunks":                 {okay + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nb\r\n", bodies},
		"one chunk":                    {okay + "Transfer-Encoding: chunked\r\n\r\nFFFFFFFF\r\n", "body", bodies},
		"chunk size":                   {okay + "Transfer-Encoding: chunked\r\n\r\n", "0", bodies},
		"chunk extension":              {okay + "Transfer-Encoding: chunked\r\n\r\n4;a=", "a", bodies},
		"trailers":                     {okay + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n", bodies},
		"until the connection ends":    {okay + "\r\n", "body", bodies},
		"length over the limit":        {okay + "Content-Length: 9000000000\r\n\r\n", "body", bodies},
		"header of another request":    {okay + "X-Id: other\r\n", "A: b\r\n", head},
		"chunks of another request":    {okay + "X-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n", bodies},
		"length of another request":    {okay + "X-Id: other\r\nContent-Length: 9000000000\r\n\r\n", "body", bodies},
		"responses to another request": {"", okay + "X-Id: other\r\nContent-Length: 4\r\n\r\nbody", bodies},
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			conn := dialTarget(t, endless(c.start, c.more, &sent))
			counted := &countedConn{Conn: conn}
			target := NewConn(counted)
			memory := &countingMemory{}
			r := newPost("order")
			r.MaxResponseBytes, r.Memory = limit, memory
			r.Dialect = &Dialect{DeadlineField: "X-Deadline", IDField: "X-Id", ID: "this", CloseDelimited: true}
			resp, err := target.Exchange(background, r)
			if err == nil || resp != nil {
				t.Fatalf("response %+v", resp)
			}
			failed := err.(*Error)
			if failed.NotRun() || failed.Code == result.DeadlineAfterSend || target.Reusable() {
				t.Errorf("%v, not run %v, reusable %v", err, failed.NotRun(), target.Reusable())
			}
			if counted.read > c.most {
				t.Errorf("read %d bytes, want at most %d", counted.read, c.most)
			}
			if memory.held != 0 || memory.most > 3*limit {
				t.Errorf("%d bytes still reserved, %d at most", memory.held, memory.most)
			}
			target.Close()
		})
	}
}

// countedConn counts the bytes that are read.
type countedConn struct {
	net.Conn
	read int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read += int64(n)
	return n, err
}

// manyFields returns header fields with names of their own, size bytes in all.
func manyFields(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// Guards against heads of many short fields that fill the memory of a VM, though each is within its size: parsed, a
// field takes many times its bytes. The target stops in the head, which would be held until the deadline.
func TestHeadOfManyFieldsIsRefused(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	c := newTestConn(t, func(p *scriptedTarget) {
		p.readRequest()
		p.write("HTTP/1.1 200 OK\r\n" + manyFields(maxHeaderBytes-readBufferBytes))
		<-release
	})
	_, err := c.Exchange(background, newGet("/stock"))
	wantError(t, err, result.AnswerTooLarge)
}

// A head with as many fields as servers send must be read.
func TestHeadOfSomeFieldsIsRead(t *testing.T) {
	fields := manyFields(1 << 10)
	c := newTestConn(t, respondWith("HTTP/1.1 200 OK\r\n"+fields+"Content-Length: 3\r\n\r\nabc"))
	resp, err := c.Exchange(background, newGet("/stock"))
	if want := strings.Count(fields, "\n") + 2; err != nil || len(resp.Header) != want {
		t.Fatalf("%v, want %d fields", err, want)
	}
}
