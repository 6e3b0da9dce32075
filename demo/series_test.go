package demo

import (
	"slices"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/bench/check"
)

// Requests count in the second in which they were due, so that a late answer
// shows as latency of its own second and not as load of a later one.
func TestSeriesBySecondDue(t *testing.T) {
	began := time.Unix(100, 0)
	told := func(due, latency time.Duration, outcome result.Outcome, place model.PlaceName) check.Told {
		at := began.Add(due)
		return check.Told{Account: "a", Service: "s", Place: place, Outcome: outcome, Intended: at, Done: at.Add(latency)}
	}
	c := newSecondCounter(&model.Account{Name: "a", Places: []model.Place{{Name: "p"}, {Name: "q"}}}, "s", 2)
	c.addAll(began, []check.Told{
		told(0, 2*time.Second, result.Ran, "p"),
		told(time.Second, time.Millisecond, result.Ran, "q"),
		told(time.Second, time.Millisecond, result.NotRun, ""),
		told(time.Second, time.Millisecond, result.Unknown, "q"),
		told(2*time.Second, time.Millisecond, result.Ran, "q"),
		{Account: "b", Service: "s", Place: "p", Intended: began},
	})
	got := c.series()
	if p, q := got.Places[0].RPS, got.Places[1].RPS; !slices.Equal(p, []float64{1, 0}) || !slices.Equal(q, []float64{0, 1}) {
		t.Errorf("ran by place: %+v", got.Places)
	}
	if s := got.Seconds[0]; s.Ran != 1 || s.P99MS < 1990 || s.P99MS > 2010 {
		t.Errorf("first second: %+v", s)
	}
	if s := got.Seconds[1]; s.Ran != 1 || s.Refused != 1 || s.Unknown != 1 || s.P50MS > 2 {
		t.Errorf("second second: %+v", s)
	}
}
