package modelcheck

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/observe"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/control/holder"
)

// message is anything under way: a call to the store, a report, a loan, or
// the answer to one. run is its effect at the receiver.
type message struct {
	due      time.Time
	from, to *process
	// life is that of the receiver when it was sent: what is addressed to a
	// process that ended reaches nobody.
	run func()
}

type renewCall struct {
	request *peerpb.RenewRequest
	report  observe.Report
	sent    holder.SentRequest
}

// send puts a message under way. Most arrive soon, some late, some never.
func (w *world) send(from, to *process, run func()) {
	if w.chance(lossPercent) {
		return
	}
	w.messages = append(w.messages, message{due: w.now.Add(w.delay()), from: from, to: to, run: run})
}

const (
	lossPercent = 3
	latePercent = 4
	slowPercent = 12
)

// delay draws how long something takes.
func (w *world) delay() time.Duration {
	if w.chance(latePercent) {
		return time.Duration(w.random.IntN(60_000)) * time.Millisecond
	}
	if w.chance(slowPercent) {
		return time.Duration(w.random.IntN(3_000)) * time.Millisecond
	}
	return time.Duration(w.random.IntN(300)) * time.Millisecond
}

// writeDelay draws how long a call is under way to the store.
func (w *world) writeDelay() time.Duration {
	if w.now.Before(w.slowUntil) && w.chance(50) {
		return time.Duration(5_000+w.random.IntN(35_000)) * time.Millisecond
	}
	return w.delay()
}

func (w *world) chance(percent int) bool { return w.random.IntN(100) < percent }

// deliver runs what has arrived. A paused receiver finds it when it goes on.
func (w *world) deliver() {
	waiting := w.messages
	w.messages = nil
	for _, m := range waiting {
		switch {
		case m.due.After(w.now) || m.to != nil && m.to.paused:
			w.messages = append(w.messages, m)
		case m.to != nil && (m.to.ended || !w.connected(m.from, m.to)):
		default:
			m.run()
		}
	}
}

// connected reports whether two processes reach each other.
func (w *world) connected(a, b *process) bool {
	return a == b || a.side == b.side
}

// call sends a call to the store. apply runs there; its answer is given to
// answer unless it is lost. Refused tells the caller that the store did not
// take the call; a caller whose answer is lost is told after the call timeout.
func (w *world) call(p *process, apply func() (answer func()), refused, unknown func()) {
	timeout := w.now.Add(callTimeout)
	if w.kv.out || p.storeCut {
		// A store that is out refuses, or keeps silent.
		if w.chance(50) {
			w.later(p, w.now, refused)
		} else {
			w.later(p, timeout, unknown)
		}
		return
	}
	if w.chance(lossPercent) {
		w.later(p, timeout, unknown)
		return
	}
	arrives := w.now.Add(w.writeDelay())
	lost := w.chance(lossPercent) || arrives.After(timeout)
	if lost {
		w.later(p, timeout, unknown)
	}
	w.messages = append(w.messages, message{due: arrives, from: p, run: func() {
		answer := apply()
		if !lost {
			w.later(p, w.now, answer)
		}
	}})
}

// later runs something at a process, at the earliest at a time.
func (w *world) later(p *process, at time.Time, run func()) {
	w.messages = append(w.messages, message{due: at, from: p, to: p, run: run})
}

const callTimeout = 2 * time.Second
