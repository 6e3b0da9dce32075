package entry_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/site"
)

const (
	// leavingGrace is how long after the first answer that says so the VMs may still send requests to a
	// target that leaves.
	leavingGrace = 500 * time.Millisecond
	// restGrace is how long after a refusal the VM may still send requests to a target that asked for a
	// rest, and restExtra how many it may send in the rest of that time.
	restGrace = 500 * time.Millisecond
	restExtra = 2
)

// statingTarget is a target whose answers state that it leaves, or that refuses requests and asks for a
// rest, and that records when requests arrive.
type statingTarget struct {
	server *httptest.Server

	mu       sync.Mutex
	leaving  bool
	rest     time.Duration
	statedAt time.Time
	arrivals []time.Time
}

func (f *fleet) startStatingTarget(id, zone string) *statingTarget {
	s := &statingTarget{}
	s.server = httptest.NewServer(http.HandlerFunc(s.handle))
	f.t.Cleanup(s.server.Close)
	f.put("target/"+id, site.Target{ID: id, Service: "s", Address: s.server.Listener.Addr().String(), Zone: zone, Slots: 8})
	return s
}

func (s *statingTarget) handle(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	leaving, rest := s.leaving, s.rest
	s.arrivals = append(s.arrivals, time.Now())
	if s.statedAt.IsZero() && (leaving || rest > 0) {
		s.statedAt = time.Now()
	}
	s.mu.Unlock()
	w.Header().Set("X-Id", r.Header.Get("X-Id"))
	if leaving {
		w.Header().Set("X-Leaving", "1")
	}
	if rest > 0 {
		w.Header().Set("X-Rest", fmt.Sprint(rest.Seconds()))
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("X-Stamp", "s")
	fmt.Fprint(w, "done")
}

func (s *statingTarget) setLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// setRest makes the target refuse requests, 0 ends that.
func (s *statingTarget) setRest(rest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rest = rest
}

// arrivalsBetween counts the requests that arrived in a part of the time since the first statement.
func (s *statingTarget) arrivalsBetween(from, to time.Duration) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.arrivals {
		if since := at.Sub(s.statedAt); !s.statedAt.IsZero() && since >= from && since < to {
			n++
		}
	}
	return n
}

// first returns when the target first stated something, zero before that.
func (s *statingTarget) first() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.statedAt
}

// load sends requests to all VMs and counts the statuses of the answers.
type load struct {
	stop func()

	mu       sync.Mutex
	statuses map[int]int
}

// startLoad lets several callers of each VM send requests without a pause to speak of, with and
// without affinity keys.
func startLoad(vms []*vm) *load {
	l := &load{statuses: make(map[int]int)}
	done := make(chan struct{})
	var all sync.WaitGroup
	for n, v := range vms {
		for caller := range 3 {
			all.Go(func() {
				for i := 0; ; i++ {
					key := ""
					if i%2 == 0 {
						key = fmt.Sprint("key-", (i+n+caller)%20)
					}
					status, _ := getWithKey(v.options.EntryAddress, "/p/x", key)
					l.mu.Lock()
					l.statuses[status]++
					l.mu.Unlock()
					select {
					case <-done:
						return
					case <-time.After(15 * time.Millisecond):
					}
				}
			})
		}
	}
	l.stop = sync.OnceFunc(func() { close(done); all.Wait() })
	return l
}

// reset returns the statuses since the last call.
func (l *load) reset() map[int]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.statuses
	l.statuses = make(map[int]int)
	return old
}

// startStatingFleet starts four VMs in two regions and targets of one service.
func startStatingFleet(t *testing.T) (*fleet, []*vm, []*statingTarget) {
	f := newFleet(t)
	crashing := crashingTargets{fleet: f}
	crashing.remove("target/a")
	f.configure(1, "/p/")
	targets := []*statingTarget{f.startStatingTarget("t1", "n1"), f.startStatingTarget("t2", "n2"), f.startStatingTarget("t3", "s1")}
	vms := []*vm{f.start("a", "n1", f.kv), f.start("b", "n2", f.kv), f.start("c", "n1", f.kv), f.start("d", "s1", f.kv)}
	for _, v := range vms {
		waitFor(t, "never served", respondsWith(v.options.EntryAddress, "/p/x", http.StatusOK))
	}
	return f, vms, targets
}

// A target that says in its answers that it leaves must get no more requests of any VM, although the
// store has it as ready, and no caller may be refused for it.
func TestTargetThatSaysItLeavesGetsNoRequests(t *testing.T) {
	_, vms, targets := startStatingFleet(t)
	l := startLoad(vms)
	defer l.stop()
	targets[0].setLeaving()
	waitFor(t, "the target got no request", func() bool { return !targets[0].first().IsZero() })
	time.Sleep(time.Until(targets[0].first().Add(6 * time.Second)))
	l.stop()
	if n := targets[0].arrivalsBetween(leavingGrace, time.Hour); n > 0 {
		t.Errorf("%d requests later than %s after the first answer", n, leavingGrace)
	}
	statuses := l.reset()
	if statuses[http.StatusOK] == 0 || len(statuses) > 1 {
		t.Errorf("answers by status: %v, want only %d", statuses, http.StatusOK)
	}
}

// When all targets of a service leave, none may get more requests.
func TestTargetsThatAllLeaveGetNoRequests(t *testing.T) {
	_, vms, targets := startStatingFleet(t)
	l := startLoad(vms)
	defer l.stop()
	for _, s := range targets {
		s.setLeaving()
	}
	for _, s := range targets {
		waitFor(t, "a target got no request", func() bool { return !s.first().IsZero() })
	}
	time.Sleep(leavingGrace)
	l.reset()
	time.Sleep(4 * time.Second)
	l.stop()
	for i, s := range targets {
		if n := s.arrivalsBetween(leavingGrace, time.Hour); n > 0 {
			t.Errorf("target %d got %d requests later than %s after its first answer", i+1, n, leavingGrace)
		}
	}
	statuses := l.reset()
	if statuses[http.StatusServiceUnavailable] == 0 || len(statuses) > 1 {
		t.Errorf("answers by status: %v, want only %d", statuses, http.StatusServiceUnavailable)
	}
}

// Targets that refuse requests and ask for a rest must get hardly any until its end, and must be used
// again after it.
func TestTargetsAtRestGetNoRequests(t *testing.T) {
	const rest = 3 * time.Second
	_, vms, targets := startStatingFleet(t)
	l := startLoad(vms)
	defer l.stop()
	for _, s := range targets {
		s.setRest(rest)
	}
	for _, s := range targets {
		waitFor(t, "a target got no request", func() bool { return !s.first().IsZero() })
	}
	time.Sleep(rest - 300*time.Millisecond)
	for _, s := range targets {
		s.setRest(0)
	}
	for i, s := range targets {
		if n := s.arrivalsBetween(restGrace, rest); n > restExtra*len(vms) {
			t.Errorf("target %d got %d requests between %s after its refusal and the end of %s, %d allowed", i+1, n, restGrace, rest, restExtra*len(vms))
		}
	}
	time.Sleep(900 * time.Millisecond)
	l.reset()
	time.Sleep(2 * time.Second)
	l.stop()
	statuses := l.reset()
	if served := statuses[http.StatusOK]; 10*served < 9*(served+statuses[http.StatusServiceUnavailable]) || served == 0 {
		t.Errorf("answers after the rest by status: %v", statuses)
	}
}
