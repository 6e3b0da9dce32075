package sendqueue

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
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

// The wait must last until the peer has taken all and had time to close, and must end for a peer that takes nothing, for
// one that takes bytes without end, and with the connection.
func TestAwaitEndsWithTheDeliveryOrAtItsLimits(t *testing.T) {
	limits := Limits{Linger: 500 * time.Millisecond, Stall: 5 * time.Second, Total: 20 * time.Second}
	for name, c := range map[string]struct {
		held        func(since time.Duration) int
		close       time.Duration
		least, most time.Duration
	}{
		"nothing held": {held: func(time.Duration) int { return 0 }, least: limits.Linger, most: limits.Linger},
		"taken after 3 s": {held: func(since time.Duration) int { return max(0, 3000-int(since.Milliseconds())) },
			least: 3*time.Second + limits.Linger, most: 3*time.Second + 2*limits.Linger},
		"stalled":     {held: func(time.Duration) int { return 9 }, least: limits.Stall, most: limits.Stall + limits.Linger},
		"without end": {held: func(since time.Duration) int { return 1e9 - int(since.Milliseconds()) }, least: limits.Total, most: limits.Total + limits.Linger},
		"closed":      {held: func(time.Duration) int { return 9 }, close: time.Second, least: time.Second, most: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				closed := make(chan struct{})
				if c.close > 0 {
					time.AfterFunc(c.close, func() { close(closed) })
				}
				Await(closed, func() int { return c.held(time.Since(began)) }, limits)
				if took := time.Since(began); took < c.least || took > c.most {
					t.Errorf("waited %v, want %v to %v", took, c.least, c.most)
				}
			})
		})
	}
}
