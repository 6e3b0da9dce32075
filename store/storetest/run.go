// Package storetest checks that an implementation of store.KV keeps its contract.
package storetest

import (
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/store"
)

// HistoryEvents is the number of events that the service under test must be
// configured to keep for watches.
const HistoryEvents = 64

// leaseTTL is short, because the check waits for the lease to expire.
const leaseTTL = 50 * time.Millisecond

// longTTL is for leases that must not expire during a check.
const longTTL = time.Hour

// Run runs each check against a new, empty service returned by open.
func Run(t *testing.T, open func(t *testing.T) store.KV) {
	checks := map[string]func(*testing.T, store.KV){
		"swap":                  checkSwap,
		"delete":                checkDelete,
		"size":                  checkSize,
		"list":                  checkList,
		"watch order":           checkWatchOrder,
		"watch waits":           checkWatchWaits,
		"watch empty":           checkWatchEmpty,
		"watch reset":           checkWatchReset,
		"watch future revision": checkWatchFutureRevision,
		"lease expires":         checkLeaseExpires,
		"lease revoked":         checkLeaseRevoked,
		"key leaves lease":      checkKeyLeavesLease,
	}
	for name, check := range checks {
		t.Run(name, func(t *testing.T) { check(t, open(t)) })
	}
}
