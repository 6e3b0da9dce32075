package entry

import (
	"testing"
	"time"
	"unsafe"

	"github.com/yuccaroute/yuccaroute/edge/ratelimit"
)

// wallSecondShift is the position of the seconds in the first word of a time.Time that has a
// monotonic reading.
const wallSecondShift = 30

// clockSetBack returns a time with the same monotonic reading, read after the clock of the machine
// was set back by a number of seconds.
func clockSetBack(t time.Time, seconds uint64) time.Time {
	*(*uint64)(unsafe.Pointer(&t)) -= seconds << wallSecondShift
	return t
}

func TestClockSetBackKeepsMonotonicReading(t *testing.T) {
	now := time.Now()
	back := clockSetBack(now, 3600)
	if back.Sub(now) != 0 || now.Unix()-back.Unix() != 3600 {
		t.Errorf("%v instead of an hour before %v", back, now)
	}
}

// A limit must be announced, and demand for the target reported, also after the clock was set back.
func TestTargetLimitIsAnnouncedAfterClockIsSetBack(t *testing.T) {
	now := time.Now()
	l := &targetLimits{table: ratelimit.New(now, func(map[uint32]float64) {}), started: now}
	l.table.Observe(ratelimit.Observation{Target: 1, Limited: true, Rate: 2, At: now}, now)
	if len(l.announcement(now, false)) != 1 {
		t.Fatal("not announced before the clock was set back")
	}
	limit := &targetLimit{quota: &regionQuota{limits: l}}
	if !limit.wantIsDue(now) || limit.wantIsDue(now) {
		t.Fatal("demand is not recorded once in an interval")
	}
	later := clockSetBack(now.Add(2*ratelimit.AnnounceInterval), 3600)
	if len(l.announcement(later, false)) != 1 {
		t.Error("not announced after the clock was set back")
	}
	if !limit.wantIsDue(later) {
		t.Error("demand is not recorded after the clock was set back")
	}
	if q := limit.quota; q.isIdle(later) {
		t.Error("the quota counts as idle right after its use")
	}
}
