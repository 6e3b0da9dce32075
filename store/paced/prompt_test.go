package paced

import (
	"testing"
	"testing/synctest"
	"time"
)

// Story: the store is out. A dealer's order with an idempotency key comes in,
// and its node asks the store to record the key. Held back by the pacing after
// the failures, the call would keep the order until its deadline, and the order
// would be refused seconds late, or sent with no time left.
func TestPromptCallIsNeverHeldBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPacer(Options{CallsPerSecond: 100, Burst: 100, BackoffFirst: time.Second, BackoffMax: 5 * time.Second})
		first, err := p.admit()
		if err != nil {
			t.Fatal("a prompt call is refused while the service answers")
		}
		p.failed(first.round)
		asked := time.Now()
		if _, err := p.admit(); err == nil {
			t.Fatal("a prompt call is sent within the pause after a failure")
		}
		if time.Since(asked) != 0 {
			t.Fatal("a prompt call was held back")
		}
		time.Sleep(p.bound() + time.Second)
		probe, err := p.admit()
		if err != nil {
			t.Fatal("no call finds out whether the service is back")
		}
		if _, err := p.admit(); err == nil {
			t.Fatal("a second call waits behind one that may hang")
		}
		p.endProbe(first)
		if _, err := p.admit(); err == nil {
			t.Fatal("the end of a call sent before the failure lets a second one wait")
		}
		p.endProbe(probe)
		if _, err := p.admit(); err != nil {
			t.Fatal("no call is let through after the first one ended")
		}
	})
}

// Story: more orders come than the node may record keys a second. The rest are
// refused at once, rather than queued behind the rate.
func TestPromptCallOverTheRateIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPacer(Options{CallsPerSecond: 10, Burst: 10})
		sent := 0
		for range 100 {
			if _, err := p.admit(); err == nil {
				sent++
			}
		}
		if sent != 10 {
			t.Fatalf("%d calls were sent at once, want the burst of 10", sent)
		}
	})
}
