// Package sendqueue tells what the kernel still holds of the bytes written to a TCP connection. They are lost if the
// connection is reset, as closing it with unread input does, or if input arrives after the close.
package sendqueue

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Bytes returns how many written bytes the peer has not acknowledged, 0 if the platform does not tell or the
// connection is closed. Source: TIOCOUTQ.
func Bytes(c syscall.Conn) (n int) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) {
		if held, err := unix.IoctlGetInt(int(fd), unix.TIOCOUTQ); err == nil {
			n = held
		}
	})
	return n
}

// Delivery follows what the kernel holds of a connection. It is not safe for concurrent use.
type Delivery struct {
	bytes func() int
	held  int
	// movedAt is when the peer was last seen to have taken some.
	movedAt time.Time
}

// Follow returns a Delivery for a queue whose length bytes returns.
func Follow(now time.Time, bytes func() int) *Delivery {
	return &Delivery{bytes: bytes, held: bytes(), movedAt: now}
}

// Update reads the queue and reports whether the peer has taken all.
func (d *Delivery) Update(now time.Time) (delivered bool) {
	held := d.bytes()
	if held < d.held {
		d.movedAt = now
	}
	d.held = held
	return held == 0
}

// StalledFor returns how long the peer has taken nothing.
func (d *Delivery) StalledFor(now time.Time) time.Duration { return now.Sub(d.movedAt) }

// Limits bound the wait for a delivery.
type Limits struct {
	// Linger is how long the peer has to close the connection after it has taken all.
	Linger time.Duration
	// Stall is how long the peer may take nothing, Total how long the whole wait may last.
	Stall, Total time.Duration
}

// Await blocks until the connection may be closed without loss: the peer has taken all of a queue whose length bytes
// returns, and has had Linger to close. It gives up at the other limits, and returns when closed is closed.
func Await(closed <-chan struct{}, bytes func() int, limits Limits) {
	began := time.Now()
	d := Follow(began, bytes)
	delivered := d.Update(began)
	tick := time.NewTicker(limits.Linger)
	defer tick.Stop()
	for {
		select {
		case <-closed:
			return
		case now := <-tick.C:
			if delivered || d.StalledFor(now) > limits.Stall || now.Sub(began) > limits.Total {
				return
			}
			delivered = d.Update(now)
		}
	}
}
