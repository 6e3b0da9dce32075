package peerwatch

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// uploadBytes exceed what the kernel of a peer takes that does not read.
	uploadBytes = 8 << 20
)

// peer is a listener with its first connection.
type peer struct {
	listener *net.TCPListener
	conn     *net.TCPConn
}

// newPeer returns a peer that reads nothing by itself, and a watched connection to it.
func newPeer(t *testing.T) (*peer, *Conn) {
	t.Helper()
	return newPeerWith(t, Options{Dialer: net.Dialer{Timeout: 250 * time.Millisecond, KeepAlive: -1}, Timeout: testTimeout})
}

// newPeerWith is newPeer with other options.
func newPeerWith(t testing.TB, o Options) (*peer, *Conn) {
	t.Helper()
	config := net.ListenConfig{}
	// Multipath sockets take no filter.
	config.SetMultipathTCP(false)
	listener, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := listener.(*net.TCPListener)
	c, err := Dial(context.Background(), l.Addr().String(), o)
	if err != nil {
		t.Fatal(err)
	}
	far, err := l.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(); far.Close(); l.Close() })
	return &peer{listener: l, conn: far}, c
}

// losePower drops all that reaches the peer: it acknowledges nothing and refuses nothing any more.
func (p *peer) losePower(t testing.TB) {
	t.Helper()
	for _, s := range []syscall.Conn{p.listener, p.conn} {
		raw, err := s.SyscallConn()
		if err == nil {
			controlErr := raw.Control(func(fd uintptr) {
				dropAll := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
				err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &dropAll})
			})
			if err == nil {
				err = controlErr
			}
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}

// upload writes an upload in an exchange and reads a byte of the answer.
func upload(c *Conn, bytes int) (lost bool, err error) {
	gone := make(chan struct{}, 1)
	c.ExchangeBegins(func() {
		gone <- struct{}{}
		_ = c.SetDeadline(time.Unix(1, 0))
	})
	defer c.ExchangeEnds()
	if _, err = c.Write(make([]byte, bytes)); err == nil {
		_, err = c.Read(make([]byte, 1))
	}
	select {
	case <-gone:
		return true, err
	default:
		return false, err
	}
}

// A peer that reads late must get the whole upload, although it reads nothing for longer than the timeout.
func TestPeerThatReadsLateGetsTheUpload(t *testing.T) {
	t.Parallel()
	for name, size := range map[string]struct{ buffer, upload int }{
		"default buffer": {0, uploadBytes}, "shrunk buffer": {4 << 10, 80 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			p, c := newPeer(t)
			if size.buffer > 0 {
				_ = p.conn.SetReadBuffer(size.buffer)
			}
			go func() {
				time.Sleep(6 * testTimeout)
				_, _ = io.CopyN(io.Discard, p.conn, int64(size.upload))
				_, _ = p.conn.Write([]byte("x"))
			}()
			if lost, err := upload(c, size.upload); lost || err != nil {
				t.Errorf("lost %v, error %v", lost, err)
			}
		})
	}
}

// A peer that reads in steps, with pauses longer than the timeout, must get the whole upload.
func TestPeerThatReadsInStepsGetsTheUpload(t *testing.T) {
	t.Parallel()
	p, c := newPeer(t)
	go func() {
		for range 4 {
			time.Sleep(2 * testTimeout)
			_, _ = io.CopyN(io.Discard, p.conn, uploadBytes/4)
		}
		_, _ = p.conn.Write([]byte("x"))
	}()
	if lost, err := upload(c, uploadBytes); lost || err != nil {
		t.Errorf("lost %v, error %v", lost, err)
	}
}

// A peer without power must be found by what is in flight.
func TestPeerWithoutPowerIsFound(t *testing.T) {
	t.Parallel()
	for name, bytes := range map[string]int{"small request": 400, "upload": uploadBytes} {
		t.Run(name, func(t *testing.T) {
			p, c := newPeer(t)
			p.losePower(t)
			if _, err := upload(c, bytes); err == nil {
				t.Error("no error")
			}
		})
	}
}

// A peer that loses power while it does not read must be found, as what is in flight no longer shows it.
func TestPeerThatLosesPowerWhileItDoesNotReadIsFound(t *testing.T) {
	t.Parallel()
	p, c := newPeer(t)
	timer := time.AfterFunc(3*testTimeout, func() { p.losePower(t) })
	defer timer.Stop()
	if lost, err := upload(c, uploadBytes); !lost || err == nil {
		t.Errorf("lost %v, error %v", lost, err)
	}
}

// A peer that loses power after it has read again must be found by the user timeout, which a stall has suspended.
func TestPeerThatLosesPowerAfterAStallIsFound(t *testing.T) {
	t.Parallel()
	p, c := newPeer(t)
	go func() {
		time.Sleep(3 * testTimeout)
		_, _ = io.CopyN(io.Discard, p.conn, uploadBytes)
		_, _ = p.conn.Write([]byte("x"))
	}()
	if lost, err := upload(c, uploadBytes); lost || err != nil {
		t.Fatalf("lost %v, error %v", lost, err)
	}
	time.Sleep(2 * testTimeout)
	p.losePower(t)
	if _, err := upload(c, 400); err == nil {
		t.Error("no error")
	}
}
