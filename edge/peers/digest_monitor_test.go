package peers

import (
	"testing"
	"time"
)

// Guards against VMs that report missing digests right after their start, for which the
// aggregator would send digests to every VM directly.
func TestDigestsAreMissingOnlyAfterTimeout(t *testing.T) {
	d, now := NewDigestMonitor(start), start
	check := func(what string, want bool) {
		t.Helper()
		if got := d.Missing(now); got != want {
			t.Errorf("%s: missing %v", what, got)
		}
	}
	d.SetExpected(now, true)
	check("at the start", false)
	now = now.Add(digestTimeout + time.Millisecond)
	check("no digest received", true)
	d.Received(now)
	check("digest received", false)
	d.SetExpected(now, false)
	now = now.Add(time.Hour)
	check("digests not expected", false)
	d.SetExpected(now, true)
	check("digests expected again", false)
	now = now.Add(digestTimeout + time.Millisecond)
	d.SetExpected(now, true)
	check("no digest received since", true)
}
