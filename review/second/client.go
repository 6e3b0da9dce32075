package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// sent is one client attempt.
type sent struct {
	id, vm, method, path string
	at, end              time.Duration
	status               int
	stamp                string
	length               int
	err                  error
}

// calls collects the client attempts.
type calls struct {
	mu  sync.Mutex
	all []sent
}

func (c *calls) add(s sent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, s)
}

func (c *calls) list() []sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]sent(nil), c.all...)
}

// caller is a client with one connection that it keeps open.
type caller struct {
	address  string
	calls    *calls
	deadline time.Duration
	header   map[string]string
	// smallWindow makes the connection like one over Ethernet with a small window: on the loopback device the
	// kernel otherwise holds megabytes for a client that does not read.
	smallWindow bool
	nc          net.Conn
	reader      *bufio.Reader
}

func (c *caller) close() {
	if c.nc != nil {
		_ = c.nc.Close()
		c.nc = nil
	}
}

// do sends one request, waits for its answer until the deadline and records both.
func (c *caller) do(method, host, path, id, key string) sent {
	s := sent{id: id, vm: c.address, method: method, path: path}
	s.err = c.exchange(&s, method, host, path, key)
	s.end = since()
	if s.err != nil {
		c.close()
	}
	c.calls.add(s)
	return s
}

func (c *caller) exchange(s *sent, method, host, path, key string) error {
	if c.nc == nil {
		dialer := net.Dialer{Timeout: time.Second, Control: c.control}
		nc, err := dialer.Dial("tcp", c.address)
		if err != nil {
			s.at = since()
			return err
		}
		c.nc, c.reader = nc, bufio.NewReader(nc)
	}
	s.at = since()
	_ = c.nc.SetDeadline(time.Now().Add(c.deadline))
	if _, err := io.WriteString(c.nc, c.head(method, host, path, s.id, key)); err != nil {
		return err
	}
	return c.receive(s)
}

// head returns the head of a request.
func (c *caller) head(method, host, path, id, key string) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nYuccaroute-Request-Id: %s\r\nYuccaroute-Request-Deadline: %d\r\n",
		method, path, host, id, c.deadline.Milliseconds())
	if key != "" {
		text += "Yuccaroute-Affinity-Key: " + key + "\r\n"
	}
	for name, value := range c.header {
		text += name + ": " + value + "\r\n"
	}
	if method == http.MethodPost {
		text += "Content-Length: 0\r\n"
	}
	return text + "\r\n"
}

// receive reads the next answer.
func (c *caller) receive(s *sent) error {
	r, err := http.ReadResponse(c.reader, &http.Request{Method: s.method})
	if err != nil {
		return err
	}
	s.status, s.stamp = r.StatusCode, r.Header.Get("Yuccaroute-Server-Stamp")
	body, err := io.ReadAll(r.Body)
	s.length = len(body)
	if r.Close {
		c.close()
	}
	return err
}

const (
	ethernetSegment = 1400
	windowBytes     = 32 << 10
)

func (c *caller) control(_, _ string, raw syscall.RawConn) error {
	if !c.smallWindow {
		return nil
	}
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = errors.Join(syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, ethernetSegment),
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes))
	})
	return errors.Join(err, failed)
}
