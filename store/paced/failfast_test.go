package paced

import (
	"testing"
	"testing/synctest"
	"time"
)

// A fail-fast call during an outage must be rejected at once: if delayed by the
// backoff, it would hold its request until the deadline.
func TestFailFastCallNeverWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPacer(Options{CallsPerSecond: 100, Burst: 100, BackoffFirst: time.Second, BackoffMax: 5 * time.Second})
		first, err := p.tryAcquire()
		if err != nil {
			t.Fatal("fail-fast call rejected while the service is available")
		}
		p.recordFailure(first.round)
		asked := time.Now()
		if _, err := p.tryAcquire(); err == nil {
			t.Fatal("fail-fast call permitted during the backoff")
		}
		if time.Since(asked) != 0 {
			t.Fatal("fail-fast call was delayed")
		}
		time.Sleep(p.maxPause() + time.Second)
		probe, err := p.tryAcquire()
		if err != nil {
			t.Fatal("no probe permitted after the backoff")
		}
		if _, err := p.tryAcquire(); err == nil {
			t.Fatal("second call permitted while the probe is running")
		}
		p.endProbe(first)
		if _, err := p.tryAcquire(); err == nil {
			t.Fatal("second call permitted after a call sent before the failure ended")
		}
		p.endProbe(probe)
		if _, err := p.tryAcquire(); err != nil {
			t.Fatal("no call permitted after the probe ended")
		}
	})
}

// Fail-fast calls above the rate limit are rejected instead of queued.
func TestFailFastCallOverRateIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPacer(Options{CallsPerSecond: 10, Burst: 10})
		sent := 0
		for range 100 {
			if _, err := p.tryAcquire(); err == nil {
				sent++
			}
		}
		if sent != 10 {
			t.Fatalf("%d calls were sent at once, want the burst of 10", sent)
		}
	})
}
