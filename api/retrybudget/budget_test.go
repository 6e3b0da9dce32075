package retrybudget

import "testing"

// When every request fails, retries must not exceed the configured fraction of first
// attempts plus the maximum balance.
func TestRetriesStayWithinBudget(t *testing.T) {
	const balance, maxBalance, share, requests = 1, 20, 0.25, 1000
	b := New(balance, maxBalance)
	for range 10 * maxBalance {
		b.Deposit(1)
	}
	retries := 0
	for range requests {
		b.Deposit(share)
		for b.Take() {
			retries++
		}
	}
	if want := maxBalance + int(share*requests) - 1; retries < want || retries > maxBalance+int(share*requests) {
		t.Errorf("got %d retries for %d requests, want %d", retries, requests, want)
	}
	b.Refund()
	if !b.Take() || b.Take() {
		t.Error("a refunded retry must be available exactly once")
	}
}
