package peers

import (
	"testing"
	"time"
)

// All VMs of a region start at once. If each said that it misses digests before the first
// could have come, the listener would send one to every VM itself for seconds.
func TestDigestsAreMissingOnlyAfterAWhile(t *testing.T) {
	d, now := NewDigestMonitor(start), start
	check := func(what string, want bool) {
		t.Helper()
		if got := d.Missing(now); got != want {
			t.Errorf("%s: missing %v", what, got)
		}
	}
	d.SetExpected(now, true)
	check("at the start", false)
	now = now.Add(missingAfter + time.Millisecond)
	check("none came", true)
	d.Received(now)
	check("one came", false)
	d.SetExpected(now, false)
	now = now.Add(time.Hour)
	check("a listener", false)
	d.SetExpected(now, true)
	check("a listener no more", false)
	now = now.Add(missingAfter + time.Millisecond)
	d.SetExpected(now, true)
	check("none came to it", true)
}
