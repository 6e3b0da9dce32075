package retrybudget

import "testing"

// A target fails all that it gets. Its callers see it loaded with the fresh
// requests and a share of them again, not with several times the load, however
// long it was quiet before.
func TestRetriesStayWithinTheShare(t *testing.T) {
	const start, most, share, fresh = 1, 20, 0.25, 1000
	b := New(start, most)
	for range 10 * most {
		b.Deposit(1)
	}
	retries := 0
	for range fresh {
		b.Deposit(share)
		for b.Take() {
			retries++
		}
	}
	if want := most + int(share*fresh) - 1; retries < want || retries > most+int(share*fresh) {
		t.Errorf("%d retries for %d requests, want %d", retries, fresh, want)
	}
	b.Refund()
	if !b.Take() || b.Take() {
		t.Error("a retry that was given back is not there once")
	}
}
