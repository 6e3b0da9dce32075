package peerwatch

import "time"

// maxFailedChecks is how many new connections in a row must fail before the peer is taken for lost, as many
// as segments are lost before TCP_USER_TIMEOUT expires.
const maxFailedChecks = 3

// action is what to do about one reading of the kernel's state.
type action int

const (
	// wait: nothing until the next reading.
	wait action = iota
	// finish: the peer has acknowledged all.
	finish
	// suspend: the peer does not read, so the user timeout is to be switched off.
	suspend
	// resume: the peer reads again, so the user timeout is to be switched on.
	resume
	// check: the peer does not read and was silent for long; a new connection is to show whether it is there.
	check
	// lose: the peer is lost.
	lose
)

// decider decides for one connection. While the window is open, the kernel finds a lost peer by its user
// timeout. While it is closed, the kernel probes the peer after growing pauses, too seldom to find one.
type decider struct {
	timeout   time.Duration
	suspended bool
	checking  bool
	// checkedAt is the end of the last check that reached the peer, failed counts those since then that did not.
	checkedAt time.Time
	failed    int
}

// observe decides on a reading.
func (d *decider) observe(now time.Time, i info) action {
	if closed := i.windowClosed(); closed != d.suspended {
		d.suspended, d.failed = closed, 0
		if closed {
			return suspend
		}
		return resume
	}
	switch {
	case !i.outstanding():
		return finish
	case !d.suspended || d.checking:
		return wait
	case i.heardAgo < d.silence():
		d.failed = 0
		return wait
	case d.failed == 0 && now.Sub(d.checkedAt) < d.silence():
		return wait
	}
	d.checking = true
	return check
}

// silence is after how long without an acknowledgement a peer that does not read is checked.
func (d *decider) silence() time.Duration { return 2 * d.timeout / 3 }

// checked decides on the result of a check.
func (d *decider) checked(now time.Time, reached bool) action {
	d.checking = false
	if reached || !d.suspended {
		d.checkedAt, d.failed = now, 0
		return wait
	}
	if d.failed++; d.failed < maxFailedChecks {
		d.checking = true
		return check
	}
	return lose
}
