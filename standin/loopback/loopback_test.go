package loopback

import (
	"net"
	"testing"
)

// A test picks ports for programs that it starts. Between the pick and the start other
// connections of the machine take free ports; the programs must get theirs all the same.
func TestPortsStayFreeWhileConnectionsAreMade(t *testing.T) {
	h, other := NewHost(), NewHost()
	if h.IP() == other.IP() {
		t.Fatalf("two hosts at %s", h.IP())
	}
	var picked []string
	for range 50 {
		picked = append(picked, h.Address())
	}
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	for range 200 {
		c, err := net.Dial("tcp", server.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	for _, address := range picked {
		l, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		u, err := net.ListenPacket("udp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer u.Close()
	}
}

// An address must be bound again although a forked process still holds a copy of the
// listener that was closed.
func TestRebindWaitsForTheCopyOfAListener(t *testing.T) {
	const failures = 3
	address := NewHost().Address()
	first, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	copied, err := first.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	attempts := 0
	err = Rebind(func() error {
		attempts++
		if attempts > failures {
			_ = copied.Close()
		}
		l, err := net.Listen("tcp", address)
		if err == nil {
			_ = l.Close()
		}
		return err
	})
	if err != nil || attempts != failures+1 {
		t.Errorf("bound after %d attempts: %v", attempts, err)
	}
}
