package gateway

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/refusals"
)

// refusalRecorder records the refusals that a gateway counts.
type refusalRecorder struct {
	noMetrics
	refused []string
	last    refusals.Refusal
}

func (r *refusalRecorder) RequestRefused(refused refusals.Refusal) {
	r.refused = append(r.refused, refused.Account+": "+refused.Reason)
	r.last = refused
}

// Guards against served requests and answers of targets that count as refused, and against refusals
// without the account or the reason that their log line has.
func TestRefusalsAreCountedByAccount(t *testing.T) {
	s := startTarget(t, "a", ok)
	g := newGateway(t)
	recorded := &refusalRecorder{}
	g.options.Metrics, g.options.Quota = recorded, &scriptedQuota{left: 2}
	g.setAccounts(4, oneAccount(secretKey), s)
	header := http.Header{"X-Key": {secretKey}}
	if a := g.askWith("/safe/x", header); a.Status != http.StatusOK || len(recorded.refused) > 0 {
		t.Fatalf("%d, refused %v", a.Status, recorded.refused)
	}
	g.setTargets(true, s)
	g.askWith("/safe/x", header)
	g.askWith("/safe/x", header)
	g.askWith("/safe/x", nil)
	want := []string{"acme: all targets leave", "acme: account over its limit", ": no key or an unknown one"}
	if !slices.Equal(recorded.refused, want) {
		t.Errorf("refused %q, want %q", recorded.refused, want)
	}
}

// Guards against a request that counts as refused at each VM that declined to place it for another one, although
// its caller was served or is refused elsewhere.
func TestDeclinedRequestsAreNotCountedAsRefused(t *testing.T) {
	f, _ := newCutGateway(t)
	recorded := &refusalRecorder{}
	f.options.Metrics = recorded
	in := f.keyedRequest("GET", "/safe/x", "7", "", time.Second, "")
	in.Header.Set(fieldVersion, "3")
	in.Header.Set(fieldReason, string(byReach))
	if a := f.HandleDelegated(context.Background(), in); a.Header.Get(fieldDeclined) != notReached {
		t.Fatalf("%d %v", a.Status, a.Header)
	}
	if len(recorded.refused) > 0 {
		t.Errorf("refused %q", recorded.refused)
	}
	f.ask(context.Background(), "GET", "/safe/x", "8", time.Second, "")
	if want := []string{": targets not reached"}; !slices.Equal(recorded.refused, want) {
		t.Errorf("refused %q, want %q", recorded.refused, want)
	}
}

// Guards against refusals that are counted without the region for which the request waited in vain.
func TestRefusalsAreCountedByRegion(t *testing.T) {
	block := make(chan struct{})
	s := startTarget(t, "a", func(w *bufio.Writer, r *http.Request, body string) bool {
		<-block
		return ok(w, r, body)
	})
	g := newGateway(t, s)
	recorded := &refusalRecorder{}
	g.options.Metrics = recorded
	var filling sync.WaitGroup
	waiting := func() bool { return g.options.Balancer.Waiting() > 0 }
	for i := range 50 {
		if waiting() {
			break
		}
		filling.Go(func() { g.ask(context.Background(), "POST", "/once/x", fmt.Sprint(i), 2*time.Second, "") })
		time.Sleep(5 * time.Millisecond)
	}
	waitFor(t, "nothing waits", waiting)
	ctx, cancel := context.WithCancel(context.Background())
	r := &request{in: g.keyedRequest("POST", "/once/x", "w", "", 2*time.Second, "")}
	r.route = g.table.Load().Match(r.in.Host, r.in.Path)
	g.prepare(r)
	time.AfterFunc(20*time.Millisecond, cancel)
	if d, _ := g.place(ctx, r); d.Target != nil || r.log.region != "r" {
		t.Errorf("decision %+v, region %q", d, r.log.region)
	}
	close(block)
	filling.Wait()
}
