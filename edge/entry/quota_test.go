package entry

import (
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/clock"
)

// A VM that has just started may have an old copy of the store: it must not take itself for
// current, nor rely on its list of keys, before that is confirmed.
func TestNothingIsConfirmedAtStart(t *testing.T) {
	for _, revokeTime := range []time.Duration{0, 5 * time.Second} {
		c := newContact(clock.New(), revokeTime)
		if c.isCurrent() || c.isExpired() != (revokeTime > 0) {
			t.Errorf("current %v, expired %v with %s at the start", c.isCurrent(), c.isExpired(), revokeTime)
		}
		c.confirm()
		if !c.isCurrent() || c.isExpired() {
			t.Errorf("current %v, expired %v with %s when confirmed", c.isCurrent(), c.isExpired(), revokeTime)
		}
	}
}
