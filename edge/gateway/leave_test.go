package gateway

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/catalog"
	"github.com/yuccaroute/yuccaroute/edge/serve"
)

// allowLongObjectives makes requests worth waiting for.
func allowLongObjectives(v *catalog.View) {
	for i := range v.Config.Routes {
		v.Config.Routes[i].Timeout, v.Config.Routes[i].Objective = time.Minute, time.Minute
	}
}

// working returns a script that answers after a while.
func working(work time.Duration, then script) script {
	return func(w *bufio.Writer, r *http.Request, body string) bool {
		time.Sleep(work)
		return then(w, r, body)
	}
}

// Guards against requests that are taken late in the grace period and cut at its end: once the VM leaves, those of
// callers and of other VMs must be refused as not run, and reach no target.
func TestLateRequestsOfAVMThatLeavesAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &target{id: "a"}
		f := newGatewayOn(t, pipeDialer(map[*target]script{s: ok}), s)
		f.Leave()
		for i, path := range []string{"/once/x", "/safe/x"} {
			a := f.ask(context.Background(), "POST", path, fmt.Sprint(i), 2*time.Second, "order")
			delegated := f.keyedRequest("POST", path, fmt.Sprint("from another VM ", i), "7", 2*time.Second, "order")
			delegated.Header.Set(fieldVersion, fmt.Sprint(f.Version()))
			b := f.HandleDelegated(context.Background(), delegated)
			if a.Status != http.StatusServiceUnavailable || b.Status != http.StatusServiceUnavailable || b.Header.Get(fieldDeclined) != vmLeaving {
				t.Errorf("%s: %d to the caller, %d %v to the other VM", path, a.Status, b.Status, b.Header)
			}
		}
		if s.count() != 0 {
			t.Errorf("%d requests at the target", s.count())
		}
		f.finish()
	})
}

// Guards against requests that still wait, or are sent a second time, as the grace period ends, and are cut then: those
// that no target has run must be refused as not run, those under way may end.
func TestRequestsThatWaitAsSendsEnd(t *testing.T) {
	const slots, orders, work = 4, 12, 10 * time.Second
	for name, c := range map[string]struct {
		path   string
		answer script
		served bool
	}{
		"orders":                     {"/once/x", ok, true},
		"look-ups":                   {"/safe/x", ok, true},
		"orders that targets refuse": {"/once/x", shed, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, b := &target{id: "a"}, &target{id: "b"}
				f := newGatewayOn(t, pipeDialer(map[*target]script{a: working(work, c.answer), b: working(work, c.answer)}))
				f.edit = allowLongObjectives
				f.setTargets(false, a, b)
				answers := make(chan *serve.Response, 2*orders)
				for i := range 2 * orders {
					go func() { answers <- f.ask(context.Background(), "POST", c.path, fmt.Sprint(i), time.Minute, "order") }()
				}
				time.Sleep(time.Second)
				f.Leave()
				f.EndSends()
				synctest.Wait()
				sent := a.count() + b.count()
				if len(answers) != 2*orders-sent || sent < 2*slots {
					t.Errorf("%d of %d requests are refused at once, %d are at targets", len(answers), 2*orders, sent)
				}
				statuses := make(map[int]int)
				for range 2 * orders {
					statuses[(<-answers).Status]++
				}
				served := 0
				if c.served {
					served = sent
				}
				if statuses[http.StatusOK] != served || statuses[http.StatusServiceUnavailable] != 2*orders-served || a.count()+b.count() != sent {
					t.Errorf("by status %v; %d at targets, %d later", statuses, sent, a.count()+b.count()-sent)
				}
				f.finish()
			})
		})
	}
}
