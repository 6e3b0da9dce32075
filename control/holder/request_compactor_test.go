package holder

import (
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/observe"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
)

// Places must be sent again when their load changes, refusals begin, the decider
// changes or the last full report is old.
func TestPlacesAreSentWhenTheyChange(t *testing.T) {
	var compactor requestCompactor
	report := func(sent, refused float64) observe.Report {
		return observe.Report{Places: []observe.PlaceLoad{{Service: "desk", Place: "a", SentRPS: sent, RefusedRPS: refused, P99: time.Second}}}
	}
	same := func(r observe.Report, epoch uint64, after time.Duration) bool {
		request := NewRequest(r)
		request.AppliedEpoch = epoch
		compactor.compact(request, r, start.Add(after))
		return request.PlacesSame && len(request.Places) == 0
	}
	first := report(100, 0)
	if same(first, 1, 0) {
		t.Error("the first report omits places")
	}
	compactor.recordAnswer(&peerpb.RenewRequest{}, first, &peerpb.RenewResponse{Epoch: 1}, start)
	for name, c := range map[string]struct {
		report observe.Report
		epoch  uint64
		after  time.Duration
		want   bool
	}{
		"chance":      {report(110, 0), 1, time.Second, true},
		"surge":       {report(200, 0), 1, time.Second, false},
		"refusal":     {report(100, 1), 1, time.Second, false},
		"new decider": {report(100, 0), 2, time.Second, false},
		"long ago":    {report(100, 0), 1, fullReportInterval, false},
	} {
		if got := same(c.report, c.epoch, c.after); got != c.want {
			t.Errorf("%s: places omitted: %v", name, got)
		}
	}
}

// Place names must be sent once to each decider, and again when the list of places
// changes.
func TestPlaceNamesAreSentOnce(t *testing.T) {
	var compactor requestCompactor
	now := start
	named := func(epoch uint64, sent float64, places ...model.PlaceName) bool {
		now = now.Add(time.Second)
		var r observe.Report
		for _, p := range places {
			r.Places = append(r.Places, observe.PlaceLoad{Service: "desk", Place: p, SentRPS: sent})
		}
		request := NewRequest(r)
		request.AppliedEpoch = epoch
		compactor.compact(request, r, now)
		compactor.recordAnswer(request, r, &peerpb.RenewResponse{Epoch: epoch}, now)
		if len(request.Places) != len(places) || request.Places[0].SentRps != float32(sent) {
			t.Fatalf("request %v", request)
		}
		return request.PlaceNames == 0 && request.Places[0].Place == string(places[0])
	}
	for i, step := range []struct{ got, want bool }{
		{named(1, 100, "a", "b"), true},
		{named(1, 300, "a", "b"), false},
		{named(1, 900, "b", "a"), true},
		{named(1, 100, "b", "a"), false},
		{named(2, 900, "b", "a"), true},
	} {
		if step.got != step.want {
			t.Errorf("report %d has names: %v", i, step.got)
		}
	}
}
