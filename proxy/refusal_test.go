package proxy

import (
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
	"github.com/yuccaroute/yuccaroute/api/result"
)

// A request that will not be served must be refused at once as not run, with a
// Retry-After, whatever its deadline.
func TestRefusalsAreImmediate(t *testing.T) {
	cases := []struct {
		want   result.Code
		change func(*Options, *model.Account)
		setup  func(p *Proxy)
	}{
		{want: result.NoCapacity, setup: func(p *Proxy) { p.SetGrants(testGrants(2, 0)) }},
		{want: result.NoCapacity, setup: func(p *Proxy) { p.SetGrants(testGrants(2, 0)) },
			change: func(_ *Options, m *model.Account) { m.Excess = model.ExcessWait }},
		{want: result.QueueFull, change: func(o *Options, _ *model.Account) { o.MaxInFlight = 1 },
			setup: func(p *Proxy) { p.inFlight.NewShare().Take(1) }},
		{want: result.BufferFull, change: func(o *Options, _ *model.Account) { o.MaxBufferedBytes = 1 }},
		{want: result.NodeLeaving, setup: func(p *Proxy) { p.gate.Close() }},
		{want: result.NoTarget, setup: func(p *Proxy) { p.SetTargets(listOf()) }},
		{want: result.MoveHeld, setup: moveWithoutTargets,
			change: func(_ *Options, m *model.Account) {
				m.Places = append(m.Places, model.Place{Name: "kr-busan-a", Region: testRegion})
				m.Moves = model.MoveLimits{Share: 0, Window: time.Hour}
			}},
		{want: result.NoPlan, setup: func(p *Proxy) {
			empty := testPlan()
			empty.Sequence, empty.Flows = 2, []plan.Flow{}
			p.SetPlan(empty)
		}},
	}
	for _, c := range cases {
		t.Run(c.want.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				target := &pipeTarget{serve: func() time.Duration { return 10 * time.Millisecond }}
				p := newTestProxy(t, func(o *Options, m *model.Account) {
					o.Dial = target.dial
					if c.change != nil {
						c.change(o, m)
					}
				}, "10.0.0.1:80")
				defer closeAndSettle(p)
				if c.setup != nil {
					c.setup(p)
				}
				start := time.Now()
				w := call(p, http.MethodPost, "/orders", "an order", result.HeaderDeadline, "5000")
				wantResult(t, w, c.want)
				if took := time.Since(start); took != 0 {
					t.Errorf("refused after %s", took)
				}
				if result.RetryAfter(w.Header()) <= 0 || w.Header().Get("Retry-After") == "" {
					t.Errorf("no Retry-After: %v", w.Header())
				}
			})
		})
	}
}

// moveWithoutTargets applies a plan that leaves a place, and removes the
// targets there.
func moveWithoutTargets(p *Proxy) {
	next := testPlan()
	next.Sequence = 2
	next.Flows[0].Shares = []plan.Share{{Place: "kr-busan-a", PPM: plan.Whole}}
	p.SetPlan(next)
	p.SetTargets(listOf())
}

// A queued order must be refused as soon as all targets have left.
func TestWaitingOrderIsRefusedWhenTargetsLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := &pipeTarget{serve: func() time.Duration { return time.Minute }}
		p := newTestProxy(t, func(o *Options, _ *model.Account) { o.Dial = target.dial }, "10.0.0.1:80")
		defer time.Sleep(time.Minute)
		defer p.Close()
		time.Sleep(time.Second)
		for range 3 {
			go call(p, http.MethodPost, "/orders", "x", result.HeaderDeadline, "30000")
		}
		synctest.Wait()
		time.AfterFunc(time.Second, func() { p.SetTargets(listOf()) })
		start := time.Now()
		wantResult(t, call(p, http.MethodPost, "/orders", "x", result.HeaderDeadline, "20000"), result.NoTarget)
		if took := time.Since(start); took != time.Second {
			t.Errorf("refused after %s", took)
		}
		time.Sleep(30 * time.Second)
	})
}

// Callers refused together must get times to return one after the other at the
// rate of the grant.
func TestRetryAfterSpreadsCallers(t *testing.T) {
	const callers, rate = 80, 100.0
	var c retrySchedule
	now := time.Now()
	var back []time.Duration
	for range callers {
		back = append(back, c.next(now, 10*time.Millisecond, rate))
	}
	slices.Sort(back)
	const window = 100 * time.Millisecond
	for i, first := range back {
		n := 0
		for _, other := range back[i:] {
			if other-first < window {
				n++
			}
		}
		if n > 2+int(rate*window.Seconds()) {
			t.Fatalf("%d callers return within %s at a rate of %g per second", n, window, rate)
		}
	}
	if back[0] < 10*time.Millisecond || back[callers-1] > maxRetryAfter {
		t.Errorf("Retry-After from %s to %s", back[0], back[callers-1])
	}
}

// The estimate must settle between the typical and the slow answers, and rise
// with answers that were cut off by their deadlines.
func TestTailLatencyConverges(t *testing.T) {
	var l tailLatency
	for i := range 20_000 {
		took := time.Duration(1+i%50) * time.Millisecond
		if i%50 == 49 {
			took = 400 * time.Millisecond
		}
		l.observe(took)
	}
	if got := l.estimate(); got < 50*time.Millisecond || got > 400*time.Millisecond {
		t.Errorf("%s", got)
	}
	for range 50 {
		l.observeTimeout(2 * time.Second)
	}
	if got := l.estimate(); got != 2*time.Second {
		t.Errorf("estimate %s after timeouts of 2s", got)
	}
}
