package control

import (
	"testing"
	"testing/synctest"
	"time"
)

// raiseTimes is when, after a node's callers ask for more, the messages of its
// raise were seen, in simulated time.
type raiseTimes struct {
	// reported is when the decider took the first report with all of it,
	// written when the ledger was written after that, raised when the node may
	// send more, enough when it may send all that its callers ask for.
	reported, written, raised, enough time.Duration
}

// raisePoll is how exactly the times are taken.
const raisePoll = 10 * time.Millisecond

// timeRaise raises the demand in front of a node and follows the messages.
func (f *fleet) timeRaise(m *member, demand float64) raiseTimes {
	var t raiseTimes
	began := time.Now()
	held := m.permitted()
	before := f.usage().writes
	m.ask(demand)
	for time.Since(began) < 30*time.Second && t.enough == 0 {
		time.Sleep(raisePoll)
		since := time.Since(began)
		if m.permitted() < rps(demand) {
			// Requests wait at the node.
			m.system.SignalShortage("daehan")
		}
		note := func(at *time.Duration, seen bool) {
			if *at == 0 && seen {
				*at = since
			}
		}
		note(&t.reported, m.told(demand))
		note(&t.written, t.reported > 0 && f.usage().writes > before)
		note(&t.raised, m.permitted() > held)
		note(&t.enough, m.permitted() >= rps(demand))
	}
	f.check()
	return t
}

// told reports whether a report with all of a demand has been answered.
func (m *member) told(demand float64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reportedRPS >= demand*0.99
}

// Callers of one node ask for twice what it may send, while most of the
// capacity is idle. They wait in its queue until the raise is there. The time
// goes by message; the node's phase against the decider's step varies.
func TestDemandToRaise(t *testing.T) {
	t.Run("direct", func(t *testing.T) { testDemandToRaise(t, 0) })
	t.Run("relay", func(t *testing.T) { testDemandToRaise(t, 1) })
}

func testDemandToRaise(t *testing.T, relayFrom int) {
	const trials = 20
	synctest.Test(t, func(t *testing.T) {
		f := newRelayFleet(t, 8, relayFrom)
		defer f.stop()
		f.run(30)
		var sum, most raiseTimes
		for i := range trials {
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			m := f.nodes[i%len(f.nodes)]
			one := f.timeRaise(m, 2*m.permitted().RPS())
			sum.add(one)
			most.raise(one)
			f.offer(80)
			f.run(120)
		}
		t.Logf("mean of %d: reported %v, written %v, raised %v, enough %v", trials,
			sum.reported/trials, sum.written/trials, sum.raised/trials, sum.enough/trials)
		t.Logf("most: %+v", most)
		if sum.raised == 0 || most.enough == 0 {
			t.Fatal("no raise was seen")
		}
		if most.raised > shortSample+2*gather+20*raisePoll {
			t.Errorf("a raise took %v: it waited for a regular report or step", most.raised)
		}
	})
}

func (t *raiseTimes) add(u raiseTimes) {
	t.reported += u.reported
	t.written += u.written
	t.raised += u.raised
	t.enough += u.enough
}

func (t *raiseTimes) raise(u raiseTimes) {
	t.reported = max(t.reported, u.reported)
	t.written = max(t.written, u.written)
	t.raised = max(t.raised, u.raised)
	t.enough = max(t.enough, u.enough)
}

// Callers ask every node for far more than all of the capacity, so that each
// is short all the time and no report can help. The decider must not be flooded:
// no node sends more than twice its regular reports, and no second has more
// than two writes of the ledger.
func TestNodesThatStayShortDoNotFlood(t *testing.T) {
	const seconds = 60
	within(t, 8, func(t *testing.T, f *fleet) {
		f.offer(2000)
		f.run(10)
		began := f.usage()
		var most usage
		for range seconds {
			before := f.usage()
			for range 20 {
				for _, m := range f.nodes {
					m.system.SignalShortage("daehan")
				}
				time.Sleep(50 * time.Millisecond)
			}
			f.check()
			most.raise(f.usage().sub(before))
		}
		used := f.usage().sub(began)
		early := uint64(0)
		for _, m := range f.nodes {
			early += m.system.Status()[0].Holder.Early
		}
		t.Logf("in %d s: %+v, %d out of turn; most in one second %+v", seconds, used, early, most)
		if early == 0 || used.calls+used.asked > 2*seconds*len(f.nodes) {
			t.Errorf("%d calls of %d nodes in %d s, %d out of turn", used.calls, len(f.nodes), seconds, early)
		}
		if most.writes > 2 {
			t.Errorf("%d writes in one second", most.writes)
		}
	})
}

// Nobody calls a large fleet, or its callers come steadily. A decider that heard each
// node every second would spend its network on nothing. Then the callers of one
// node come: what the nodes at rest hold must be moved soon all the same.
func TestNodesAtRestReportSeldom(t *testing.T) {
	const (
		seconds, nodes = 100, 32
		// wordless bounds the bytes of a report without names and its answer.
		wordless = 75
	)
	for _, offered := range []float64{0, 20} {
		within(t, nodes, func(t *testing.T, f *fleet) {
			f.offer(offered)
			f.run(60)
			began := f.usage()
			f.run(seconds)
			used := f.usage().sub(began)
			t.Logf("%d nodes with %.0f requests/s each: %.2f calls/s and %.0f bytes/s a node", nodes, offered,
				float64(used.calls)/seconds/nodes, float64(used.bytes)/seconds/nodes)
			if used.calls+used.asked > nodes*seconds/8 || used.calls < nodes*seconds/12 {
				t.Errorf("%d calls in %d s", used.calls, seconds)
			}
			if each := used.bytes / max(used.calls, 1); each > wordless {
				t.Errorf("a report and its answer have %d bytes in the mean", each)
			}
			began = f.usage()
			one := f.timeRaise(f.nodes[3], 300)
			after := f.usage().sub(began)
			t.Logf("raise of one: %+v, %+v", one, after)
			if one.enough == 0 || one.enough > restInterval/2 {
				t.Errorf("all of the demand was permitted after %v", one.enough)
			}
		})
	}
}

// restInterval is that of package holder.
const restInterval = 10 * time.Second
