package broadcast

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// Guards against reports that grow with the number of events, or repeat old ones.
func TestQueueIsBounded(t *testing.T) {
	var q Queue[int]
	for e := range 10 * maxEvents {
		q.Add(start, e, false)
	}
	if n := len(q.Pending(start, true)); n != maxEvents {
		t.Errorf("%d events in one report", n)
	}
	if n := len(q.Pending(start.Add(eventTTL+1), true)); n != 0 {
		t.Errorf("%d old events", n)
	}
}
