package drain

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
)

// Requests come from many goroutines while the gate closes. Every one that was
// let in has left when Wait returns, and none is let in afterwards.
func TestWaitCoversEveryRequestLetIn(t *testing.T) {
	for range 200 {
		var g Gate
		var inside atomic.Int64
		var done sync.WaitGroup
		for range 8 {
			done.Go(func() {
				for g.Enter() {
					inside.Add(1)
					inside.Add(-1)
					g.Leave()
				}
			})
		}
		if err := g.Wait(context.Background()); err != nil {
			t.Fatal(err)
		}
		if n := inside.Load(); n != 0 {
			t.Fatalf("%d requests inside", n)
		}
		if g.Enter() {
			t.Fatal("let in after the end")
		}
		done.Wait()
		if g.InFlight() != 0 {
			t.Fatalf("%d open", g.InFlight())
		}
	}
}

func TestWaitEndsWithItsContext(t *testing.T) {
	var g Gate
	g.Enter()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := g.Wait(ctx); err == nil || g.InFlight() != 1 {
		t.Fatalf("error %v with %d open", err, g.InFlight())
	}
}
