package lease

import (
	"testing"
	"time"
)

// A suspended VM stops the monotonic clock and an operator may set the wall
// clock back; the lease keeps running in both cases.
func TestElapsedUsesLargerReading(t *testing.T) {
	wall := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	since := instant{monotonic: time.Hour, wall: wall}
	suspended := instant{monotonic: time.Hour, wall: wall.Add(time.Minute)}
	if got := elapsed(since, suspended); got != time.Minute {
		t.Errorf("after a suspension: %s, want 1m", got)
	}
	setBack := instant{monotonic: time.Hour + time.Minute, wall: wall.Add(-time.Hour)}
	if got := elapsed(since, setBack); got != time.Minute {
		t.Errorf("after the wall clock was set back: %s, want 1m", got)
	}
}
