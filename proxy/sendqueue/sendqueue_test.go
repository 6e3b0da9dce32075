package sendqueue

import (
	"io"
	"net"
	"testing"
	"time"
)

// A peer that takes bytes must count as alive, one that takes none as stalled since it last did, and new bytes behind
// those that are taken must not hide either.
func TestDeliveryTellsStallsFromSlowPeers(t *testing.T) {
	held := 100
	began := time.Unix(1000, 0)
	d := Follow(began, func() int { return held })
	for n, step := range []struct {
		held    int
		stalled time.Duration
		done    bool
	}{{100, 1 * time.Second, false}, {90, 0, false}, {90, 1 * time.Second, false}, {120, 2 * time.Second, false}, {119, 0, false}, {0, 0, true}} {
		held = step.held
		now := began.Add(time.Duration(n+1) * time.Second)
		if done := d.Update(now); done != step.done || d.StalledFor(now) != step.stalled {
			t.Errorf("step %d: delivered %v, stalled for %v, want %v and %v", n, done, d.StalledFor(now), step.done, step.stalled)
		}
	}
}

// Bytes must count until the peer's kernel has taken them, and be 0 for a closed connection.
func TestBytesOfAConnection(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	near, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	far, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	const length = 2 << 20
	conn := near.(*net.TCPConn)
	_ = conn.SetWriteBuffer(2 * length)
	if _, err := near.Write(make([]byte, length)); err != nil {
		t.Fatal(err)
	}
	if n := Bytes(conn); n == 0 || n > length {
		t.Errorf("%d bytes held for a peer that does not read", n)
	}
	if _, err := io.CopyN(io.Discard, far, length); err != nil {
		t.Fatal(err)
	}
	for Bytes(conn) > 0 {
		time.Sleep(time.Millisecond)
	}
	near.Close()
	if n := Bytes(conn); n != 0 {
		t.Errorf("%d bytes held of a closed connection", n)
	}
}
