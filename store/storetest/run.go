// Package storetest checks that a store.KV keeps the contract.
package storetest

import (
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/store"
)

// HistoryEvents is how many changes the service under test must be set to
// keep for watches.
const HistoryEvents = 64

// leaseTTL is short, as the check waits for leases to lapse.
const leaseTTL = 50 * time.Millisecond

// longTTL is for leases that must not lapse during a check.
const longTTL = time.Hour

// Run checks the service that open returns, a new and empty one each time.
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
		"watch of future":       checkWatchOfFuture,
		"lease lapses":          checkLeaseLapses,
		"lease revoked":         checkLeaseRevoked,
		"lease left by its key": checkLeaseLeft,
	}
	for name, check := range checks {
		t.Run(name, func(t *testing.T) { check(t, open(t)) })
	}
}
