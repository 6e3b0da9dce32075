package entry_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/site"
)

const (
	// statedRate is the limit that targets state in these tests, in requests per second.
	statedRate = 2.0
	// limitWindow, limitFactor and limitSlack bound the requests of all VMs to a limited target:
	// in no window more than limitFactor times what the limit allows, and limitSlack.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitGrace is how long after it was first stated a limit need not be kept yet.
	limitGrace = 4 * time.Second
)

// readStatement reads what the tests' targets state.
func readStatement(_ int, h http.Header) (s site.Statement) {
	if h["X-Limit"] != nil {
		s.Rate, s.Malformed = strconv.ParseFloat(h.Get("X-Limit"), 64)
		s.Limited = s.Malformed == nil
	}
	if seconds, err := strconv.ParseFloat(h.Get("X-Rest"), 64); err == nil {
		s.Rest = time.Duration(seconds * float64(time.Second))
	}
	s.Leaving = h.Get("X-Leaving") != ""
	return s
}

// limitedTarget is a target that may state a limit and records when requests arrive.
type limitedTarget struct {
	server *httptest.Server

	mu       sync.Mutex
	limited  bool
	arrivals []time.Time
}

func (f *fleet) startLimitedTarget(id, zone string) *limitedTarget {
	g := &limitedTarget{}
	g.server = httptest.NewServer(http.HandlerFunc(g.handle))
	f.t.Cleanup(g.server.Close)
	f.put("target/"+id, site.Target{ID: id, Service: "s", Address: g.server.Listener.Addr().String(), Zone: zone, Slots: 8})
	return g
}

func (g *limitedTarget) handle(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	g.arrivals = append(g.arrivals, time.Now())
	limited := g.limited
	g.mu.Unlock()
	w.Header().Set("X-Id", r.Header.Get("X-Id"))
	w.Header().Set("X-Stamp", "s")
	if limited {
		w.Header().Set("X-Limit", fmt.Sprint(statedRate))
	}
	fmt.Fprint(w, "done")
}

func (g *limitedTarget) setLimited(limited bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limited = limited
}

// arrivalsAfter returns when requests arrived after a time.
func (g *limitedTarget) arrivalsAfter(from time.Time) (after []time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, at := range g.arrivals {
		if at.After(from) {
			after = append(after, at)
		}
	}
	return after
}

// mostInWindow returns the highest number of arrivals in a window.
func mostInWindow(arrivals []time.Time) int {
	most, first := 0, 0
	for i, at := range arrivals {
		for at.Sub(arrivals[first]) >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// sendSteadily sends requests to each VM until the test stops it, with and without affinity keys.
func sendSteadily(vms []*vm) (stop func()) {
	done := make(chan struct{})
	var all sync.WaitGroup
	for n, v := range vms {
		all.Go(func() {
			for i := 0; ; i++ {
				key := ""
				if i%2 == 0 {
					key = fmt.Sprint("key-", (i+n)%20)
				}
				getWithKey(v.options.EntryAddress, "/p/x", key)
				select {
				case <-done:
					return
				case <-time.After(25 * time.Millisecond):
				}
			}
		})
	}
	return func() { close(done); all.Wait() }
}

// A VM of another region must know of a limit before it sends to the target itself.
func TestTargetLimitIsKnownInOtherRegions(t *testing.T) {
	f := newFleet(t)
	f.configure(1, "/p/")
	limited := f.startLimitedTarget("limited", "n1")
	f.startLimitedTarget("other", "s1")
	limited.setLimited(true)
	vms := []*vm{f.start("a", "n1", f.kv), f.start("b", "n2", f.kv), f.start("d", "s1", f.kv)}
	for _, v := range vms {
		waitFor(t, "never served", respondsWith(v.options.EntryAddress, "/p/x", http.StatusOK))
	}
	stop := sendSteadily(vms[:2])
	defer stop()
	waitFor(t, "the VM of the other region does not know of the limit", func() bool {
		_, page := get(vms[2].options.MetricsAddress, "/metrics")
		return strings.Contains(page, `targets_limited{vm="d"} 1`)
	})
}

// A target's limit must hold for the requests of all VMs together, of both regions and of one
// that starts later, must be used, and must end when the target withdraws it.
func TestTargetLimitHoldsForAllVMs(t *testing.T) {
	f := newFleet(t)
	f.configure(1, "/p/")
	limited := []*limitedTarget{f.startLimitedTarget("limited-1", "n1"), f.startLimitedTarget("limited-2", "s1")}
	f.startLimitedTarget("other", "s1")
	vms := []*vm{f.start("a", "n1", f.kv), f.start("b", "n2", f.kv), f.start("c", "n1", f.kv), f.start("d", "s1", f.kv)}
	for _, v := range vms {
		waitFor(t, "never served", respondsWith(v.options.EntryAddress, "/p/x", http.StatusOK))
	}
	stop := sendSteadily(vms)
	for _, g := range limited {
		waitFor(t, "no requests before the limit", func() bool { return len(g.arrivalsAfter(time.Time{})) > 10 })
		g.setLimited(true)
	}
	stated := time.Now()
	time.Sleep(limitGrace / 2)
	late := f.start("e", "n1", f.kv)
	waitFor(t, "the new VM never served", respondsWith(late.options.EntryAddress, "/p/x", http.StatusOK))
	stopLate := sendSteadily([]*vm{late})
	time.Sleep(time.Until(stated.Add(limitGrace + 2*limitWindow)))
	const allowed = limitFactor*statedRate*4 + limitSlack
	for i, g := range limited {
		arrivals := g.arrivalsAfter(stated.Add(limitGrace))
		if most := mostInWindow(arrivals); float64(most) > allowed || most == 0 {
			t.Errorf("target %d got %d requests in %s, at least one and at most %v allowed", i+1, most, limitWindow, allowed)
		}
	}
	for _, g := range limited {
		g.setLimited(false)
	}
	for i, g := range limited {
		waitFor(t, fmt.Sprintf("target %d gets no more requests than its withdrawn limit allows", i+1), func() bool {
			return float64(mostInWindow(g.arrivalsAfter(stated.Add(limitGrace)))) > 2*allowed
		})
	}
	stopLate()
	stop()
}
