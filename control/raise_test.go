package control

import (
	"testing"
	"testing/synctest"
	"time"
)

// raiseTimes holds the times since an increase of demand, in simulated time.
type raiseTimes struct {
	// reported is when the decider received the first report with the full demand,
	// written when the ledger was written after that, raised when the node's grant
	// grew, satisfied when it covers the demand.
	reported, written, raised, satisfied time.Duration
}

// pollInterval is the resolution of the times.
const pollInterval = 10 * time.Millisecond

// measureRaise raises the demand on a node and measures when its grant follows.
func (f *fleet) measureRaise(m *fleetNode, demand float64) raiseTimes {
	var t raiseTimes
	began := time.Now()
	held := m.permitted()
	before := f.usage().writes
	m.setDemand(demand)
	for time.Since(began) < 30*time.Second && t.satisfied == 0 {
		time.Sleep(pollInterval)
		since := time.Since(began)
		if m.permitted() < rps(demand) {
			m.system.SignalShortage("daehan")
		}
		note := func(at *time.Duration, seen bool) {
			if *at == 0 && seen {
				*at = since
			}
		}
		note(&t.reported, m.reported(demand))
		note(&t.written, t.reported > 0 && f.usage().writes > before)
		note(&t.raised, m.permitted() > held)
		note(&t.satisfied, m.permitted() >= rps(demand))
	}
	f.check()
	return t
}

// reported reports whether a report with the full demand has been answered.
func (m *fleetNode) reported(demand float64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reportedRPS >= demand*0.99
}

// When the demand on one node doubles while most of the capacity is idle, the raise
// must not wait for a regular report or step.
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
			one := f.measureRaise(m, 2*m.permitted().RPS())
			sum.add(one)
			most.setMax(one)
			f.setDemand(80)
			f.run(120)
		}
		t.Logf("mean of %d: reported %v, written %v, raised %v, satisfied %v", trials,
			sum.reported/trials, sum.written/trials, sum.raised/trials, sum.satisfied/trials)
		t.Logf("max: %+v", most)
		if sum.raised == 0 || most.satisfied == 0 {
			t.Fatal("grant was not raised")
		}
		if most.raised > earlySampleTime+2*reallocationDelay+20*pollInterval {
			t.Errorf("raise took %v: it waited for a regular report or step", most.raised)
		}
	})
}

func (t *raiseTimes) add(u raiseTimes) {
	t.reported += u.reported
	t.written += u.written
	t.raised += u.raised
	t.satisfied += u.satisfied
}

func (t *raiseTimes) setMax(u raiseTimes) {
	t.reported = max(t.reported, u.reported)
	t.written = max(t.written, u.written)
	t.raised = max(t.raised, u.raised)
	t.satisfied = max(t.satisfied, u.satisfied)
}

// Nodes that are short all the time must not flood the decider with reports or the
// store with ledger writes.
func TestPersistentShortageDoesNotFlood(t *testing.T) {
	const seconds = 60
	runFleet(t, 8, func(t *testing.T, f *fleet) {
		f.setDemand(2000)
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
			most.setMax(f.usage().sub(before))
		}
		used := f.usage().sub(began)
		early := uint64(0)
		for _, m := range f.nodes {
			early += m.system.Status()[0].Holder.Early
		}
		t.Logf("in %d s: %+v, %d early reports; max in one second %+v", seconds, used, early, most)
		if early == 0 || used.calls+used.hastens > 2*seconds*len(f.nodes) {
			t.Errorf("%d calls of %d nodes in %d s, %d early reports", used.calls, len(f.nodes), seconds, early)
		}
		if most.writes > 2 {
			t.Errorf("%d writes in one second", most.writes)
		}
	})
}

// Nodes with steady demand report rarely and briefly. When the demand on one node
// grows, grants of these nodes must still be moved to it soon.
func TestSteadyNodesReportRarely(t *testing.T) {
	const (
		seconds, nodes = 100, 32
		// maxCallBytes bounds the size of a report without names and its response.
		maxCallBytes = 75
	)
	for _, offered := range []float64{0, 20} {
		runFleet(t, nodes, func(t *testing.T, f *fleet) {
			f.setDemand(offered)
			f.run(60)
			began := f.usage()
			f.run(seconds)
			used := f.usage().sub(began)
			t.Logf("%d nodes with %.0f requests/s each: %.2f calls/s and %.0f bytes/s per node", nodes, offered,
				float64(used.calls)/seconds/nodes, float64(used.bytes)/seconds/nodes)
			if used.calls+used.hastens > nodes*seconds/8 || used.calls < nodes*seconds/12 {
				t.Errorf("%d calls in %d s", used.calls, seconds)
			}
			if each := used.bytes / max(used.calls, 1); each > maxCallBytes {
				t.Errorf("a report and its response have %d bytes on average", each)
			}
			began = f.usage()
			one := f.measureRaise(f.nodes[3], 300)
			after := f.usage().sub(began)
			t.Logf("raise of one node: %+v, %+v", one, after)
			if one.satisfied == 0 || one.satisfied > steadyReportInterval/2 {
				t.Errorf("full demand was permitted after %v", one.satisfied)
			}
		})
	}
}

// steadyReportInterval equals holder.SteadyReportInterval.
const steadyReportInterval = 10 * time.Second
