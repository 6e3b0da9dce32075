package drain

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
)

// Wait must return only after every admitted request has left, and no request may
// be admitted afterwards.
func TestWaitCoversEveryAdmittedRequest(t *testing.T) {
	for range 200 {
		var g Gate
		var inFlight atomic.Int64
		var done sync.WaitGroup
		for range 8 {
			done.Go(func() {
				for g.Enter() {
					inFlight.Add(1)
					inFlight.Add(-1)
					g.Leave()
				}
			})
		}
		if err := g.Wait(context.Background()); err != nil {
			t.Fatal(err)
		}
		if n := inFlight.Load(); n != 0 {
			t.Fatalf("%d requests in flight", n)
		}
		if g.Enter() {
			t.Fatal("request admitted after Wait")
		}
		done.Wait()
		if g.InFlight() != 0 {
			t.Fatalf("%d in flight", g.InFlight())
		}
	}
}

func TestWaitEndsWithItsContext(t *testing.T) {
	var g Gate
	g.Enter()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := g.Wait(ctx); err == nil || g.InFlight() != 1 {
		t.Fatalf("error %v with %d in flight", err, g.InFlight())
	}
}
