package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// A node that stops must wait for answers that its callers have not got: they are lost if the process ends. It must
// not wait longer than its grace period.
func TestStopWaitsForTheDeliveryOfAnswers(t *testing.T) {
	for name, c := range map[string]struct{ delivered, grace, want time.Duration }{
		"delivered": {delivered: 300 * time.Millisecond, grace: time.Second, want: 300 * time.Millisecond},
		"grace":     {delivered: time.Minute, grace: time.Second, want: time.Second},
		"none":      {grace: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				ctx, cancel := context.WithTimeout(context.Background(), c.grace)
				defer cancel()
				left := awaitDelivery(ctx, func() int {
					if time.Since(began) < c.delivered {
						return 1
					}
					return 0
				})
				if took := time.Since(began); took < c.want || took > c.want+deliveryPoll || (left > 0) != (c.delivered > c.grace) {
					t.Errorf("waited %v, want %v; %d connections left", took, c.want, left)
				}
			})
		})
	}
}
