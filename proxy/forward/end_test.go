package forward

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/result"
)

// writerFails is a connection on which a write is the first to learn of a reset: reads that would wait for input
// wait for a failed write too.
type writerFails struct {
	net.Conn
	// reads counts the reads that need not wait.
	reads  int
	failed chan struct{}
	once   sync.Once
}

func (c *writerFails) Read(p []byte) (int, error) {
	if c.reads == 0 {
		<-c.failed
	} else {
		c.reads--
	}
	return c.Conn.Read(p)
}

// SyscallConn implements syscall.Conn.
func (c *writerFails) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

func (c *writerFails) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.once.Do(func() { close(c.failed) })
	}
	return n, err
}

// answerWithoutLength reads the head of an upload and answers with a body that ends with its connection.
func answerWithoutLength(p *scriptedTarget, head, body string) *net.TCPConn {
	if _, err := p.readHead(); err != nil {
		return nil
	}
	p.write(head + "\r\n" + body)
	return p.Conn.(*net.TCPConn)
}

// reset resets the connection.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

const uploadBytes = 8 << 20

// newUpload returns a request whose body does not fit into the buffers of a connection.
func newUpload() *Request {
	r := newPost("")
	r.Body, r.Length = [][]byte{make([]byte, uploadBytes)}, uploadBytes
	r.Header.Set("Content-Type", "application/octet-stream")
	r.Dialect = &Dialect{DeadlineField: "X-Deadline", IDField: "X-Id", ID: "this", CloseDelimited: true}
	return r
}

// Guards against a part of an answer that is passed on as whole: the target answers an upload without a length and
// resets the connection while the upload is under way, and the write takes the socket's error.
func TestResetDuringUploadDoesNotEndResponse(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nX-Id: this\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: this\r\nConnection: close\r\n",
		"HTTP/1.1 413 Too Large\r\nX-Id: this\r\n",
		"HTTP/1.1 500 Failed\r\nX-Id: this\r\nConnection: close\r\n",
		"HTTP/1.0 200 OK\r\nX-Id: this\r\n",
	} {
		for _, body := range []string{"part of", ""} {
			t.Run(fmt.Sprintf("%q, %q", head, body), func(t *testing.T) {
				t.Parallel()
				raw := dialTarget(t, func(p *scriptedTarget) {
					if c := answerWithoutLength(p, head, body); c != nil {
						time.Sleep(20 * time.Millisecond)
						reset(c)
					}
				})
				c := NewConn(&writerFails{Conn: raw, reads: 1, failed: make(chan struct{})})
				memory := &countingMemory{}
				r := newUpload()
				r.Memory = memory
				resp, err := c.Exchange(background, r)
				if resp != nil {
					t.Fatalf("%q was accepted as whole", resp.Body)
				}
				wantError(t, err, result.AnswerTruncated)
				if err.(*Error).NotRun() || c.Reusable() || memory.held != 0 {
					t.Errorf("not run %v, reusable %v, %d bytes reserved", err.(*Error).NotRun(), c.Reusable(), memory.held)
				}
				c.Close()
			})
		}
	}
}

// Guards against whole answers that are taken for cut ones: the target ends its stream in order while the upload is
// under way, and then reads on, waits, or resets the connection.
func TestResponseEndedInOrderDuringUploadIsWhole(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: this\r\n"
	for name, after := range map[string]func(c *net.TCPConn, p *scriptedTarget){
		"reads on":       func(c *net.TCPConn, p *scriptedTarget) { _, _ = p.reader.Discard(uploadBytes) },
		"waits":          func(*net.TCPConn, *scriptedTarget) { time.Sleep(50 * time.Millisecond) },
		"resets at once": func(c *net.TCPConn, _ *scriptedTarget) { reset(c) },
		"resets later": func(c *net.TCPConn, _ *scriptedTarget) {
			time.Sleep(20 * time.Millisecond)
			reset(c)
		},
	} {
		for _, writerFirst := range []bool{false, true} {
			if writerFirst && (name == "reads on") {
				continue
			}
			t.Run(fmt.Sprintf("%s, write fails first %v", name, writerFirst), func(t *testing.T) {
				t.Parallel()
				raw := dialTarget(t, func(p *scriptedTarget) {
					if c := answerWithoutLength(p, head, "whole"); c != nil {
						_ = c.CloseWrite()
						after(c, p)
					}
				})
				conn := raw
				if writerFirst {
					conn = &writerFails{Conn: raw, reads: 1, failed: make(chan struct{})}
				}
				c := NewConn(conn)
				resp, err := c.Exchange(background, newUpload())
				if err != nil || string(resp.Body) != "whole" || resp.Status != http.StatusOK {
					t.Errorf("%+v, %v", resp, err)
				}
				if c.Reusable() {
					t.Error("the connection is reusable")
				}
				c.Close()
			})
		}
	}
}

// waitingSource is a body of which no more arrives.
type waitingSource struct{ first []byte }

func (s *waitingSource) At(ctx context.Context, offset int64) ([]byte, error) {
	if offset < int64(len(s.first)) {
		return s.first[offset:], nil
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against both mistakes while the caller still sends: the write waits for the caller and fails at nothing.
func TestEndOfResponseWhileCallerSends(t *testing.T) {
	for name, c := range map[string]struct {
		end   func(c *net.TCPConn)
		whole bool
	}{
		"reset":            {reset, false},
		"ended, then gone": {func(c *net.TCPConn) { _ = c.CloseWrite(); reset(c) }, true},
		"ended": {func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(20 * time.Millisecond)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			conn := newTestConn(t, func(p *scriptedTarget) {
				if raw := answerWithoutLength(p, "HTTP/1.1 200 OK\r\nX-Id: this\r\n", "whole"); raw != nil {
					time.Sleep(20 * time.Millisecond)
					c.end(raw)
				}
			})
			r := newUpload()
			r.Body, r.BodySource = nil, &waitingSource{first: []byte("scans")}
			resp, err := conn.Exchange(background, r)
			if whole := err == nil && string(resp.Body) == "whole"; whole != c.whole {
				t.Errorf("%+v, %v", resp, err)
			}
		})
	}
}

// The peer must be shown to have ended its stream; what is unknown counts as a reset.
func TestStreamEnd(t *testing.T) {
	for _, c := range []struct {
		name string
		end  streamEnd
		want bool
	}{
		{"ended", streamEnd{state: endedByPeer}, true},
		{"reset after the end, seen by a write or pending", streamEnd{state: closed, failure: syscall.EPIPE}, true},
		{"reset", streamEnd{state: closed, failure: syscall.ECONNRESET}, false},
		{"unacknowledged for too long", streamEnd{state: closed, failure: syscall.ETIMEDOUT}, false},
		{"error taken by another reader", streamEnd{state: closed}, false},
		{"still open", streamEnd{state: open}, false},
		{"no state, no failure", streamEnd{}, true},
		{"no state, reset", streamEnd{failure: syscall.ECONNRESET}, false},
	} {
		if got := c.end.inOrder(); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}
