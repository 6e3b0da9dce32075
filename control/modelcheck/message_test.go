package modelcheck

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/observe"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/control/holder"
)

// message is a call, a response or a local timer in flight.
type message struct {
	due      time.Time
	from, to *process
	// run is the effect at the receiver. It is dropped if the receiver has ended.
	run func()
}

type renewCall struct {
	request *peerpb.RenewRequest
	report  observe.Report
	sent    holder.SentRequest
}

// send puts a message in flight, unless it is lost.
func (w *world) send(from, to *process, run func()) {
	if w.randomPercent(lossPercent) {
		return
	}
	w.messages = append(w.messages, message{due: w.now.Add(w.delay()), from: from, to: to, run: run})
}

const (
	lossPercent = 3
	latePercent = 4
	slowPercent = 12
)

// delay returns a random network delay.
func (w *world) delay() time.Duration {
	if w.randomPercent(latePercent) {
		return time.Duration(w.random.IntN(60_000)) * time.Millisecond
	}
	if w.randomPercent(slowPercent) {
		return time.Duration(w.random.IntN(3_000)) * time.Millisecond
	}
	return time.Duration(w.random.IntN(300)) * time.Millisecond
}

// writeDelay returns a random delay of a call to the store.
func (w *world) writeDelay() time.Duration {
	if w.now.Before(w.slowUntil) && w.randomPercent(50) {
		return time.Duration(5_000+w.random.IntN(35_000)) * time.Millisecond
	}
	return w.delay()
}

func (w *world) randomPercent(percent int) bool { return w.random.IntN(100) < percent }

// deliver runs the messages that are due. Messages to a paused process wait.
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

// connected reports whether two processes can reach each other.
func (w *world) connected(a, b *process) bool {
	return a == b || a.side == b.side
}

// call sends a call to the store. apply runs there, and the function it returns runs at
// the caller unless the response is lost. refused runs if the store rejects the call,
// unknown after the call timeout if there is no response.
func (w *world) call(p *process, apply func() (answer func()), refused, unknown func()) {
	timeout := w.now.Add(callTimeout)
	if w.kv.out || p.storeCut {
		// During an outage a call is refused or times out.
		if w.randomPercent(50) {
			w.later(p, w.now, refused)
		} else {
			w.later(p, timeout, unknown)
		}
		return
	}
	if w.randomPercent(lossPercent) {
		w.later(p, timeout, unknown)
		return
	}
	arrives := w.now.Add(w.writeDelay())
	lost := w.randomPercent(lossPercent) || arrives.After(timeout)
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

// later runs a function at a process, not before the given time.
func (w *world) later(p *process, at time.Time, run func()) {
	w.messages = append(w.messages, message{due: at, from: p, to: p, run: run})
}

const callTimeout = 2 * time.Second
