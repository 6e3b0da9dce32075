package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/edge/placing"
	"github.com/yuccaroute/yuccaroute/edge/returns"
	"github.com/yuccaroute/yuccaroute/edge/route"
	"github.com/yuccaroute/yuccaroute/edge/serve"
	"github.com/yuccaroute/yuccaroute/edge/site"
)

// A caller that waits longer than the route's timeout must be recognized by its own deadline, at the VM that
// it asks and at the owner of its key. Otherwise each of its tries seems to be of another caller.
func TestOwnerLearnsDeadlineOfCaller(t *testing.T) {
	g := newGateway(t, startTarget(t, "a", ok))
	for name, fromPeer := range map[string]bool{"X-Deadline": false, fieldGivesUp: true} {
		h := http.Header{"X-Deadline": {"990"}}
		h.Set(name, "8000")
		r := &request{in: &serve.Request{Header: h, Arrived: time.Unix(1000, 0)}, fromPeer: fromPeer, route: &route.Entry{Route: site.Route{Timeout: time.Second}}}
		r.readHistory()
		left, valid := g.timeLeft(r)
		if gap := 8*time.Second - r.givesUp.Sub(r.in.Arrived); !valid || left > time.Second || gap < 0 || gap > deadlineMargin {
			t.Errorf("from a VM %v: gives up at %v, %v left", fromPeer, r.givesUp, left)
		}
	}
}

// An operator must see in the log whether a caller was promised a place, and whether it came back in time.
func TestPromiseIsLogged(t *testing.T) {
	line := logrus.Fields{}
	l := requestLog{decision: placing.Decision{Promised: 1500 * time.Millisecond, Return: returns.Early}}
	l.addFields(line)
	if line["promised_ms"] != int64(1500) || line["promise"] != "early" {
		t.Errorf("%v", line)
	}
	line, l = logrus.Fields{}, requestLog{}
	l.addFields(line)
	if _, found := line["promise"]; found {
		t.Errorf("%v without a promise", line)
	}
}

// A stated deadline that is infinite or not a number must neither overflow nor count as a time.
func TestDeadlineOutOfRange(t *testing.T) {
	g := newGateway(t, startTarget(t, "a", ok))
	for text, want := range map[string]bool{"NaN": false, "-Inf": false, "0": false, "Inf": true, "1e300": true, "1e18": true} {
		r := &request{in: &serve.Request{Header: http.Header{"X-Deadline": {text}}, Arrived: time.Unix(1000, 0)}, route: &route.Entry{}}
		left, valid := g.timeLeft(r)
		if valid != want || valid && left != maxDeadline-deadlineMargin || valid && r.givesUp.Sub(r.in.Arrived) != left {
			t.Errorf("%s: valid %v, %v left, gives up at %v", text, valid, left, r.givesUp)
		}
	}
}

// An operator must see how much more work the account of a refused request has than others, also if that is 0.
func TestAccountWorkIsLogged(t *testing.T) {
	line := logrus.Fields{}
	l := requestLog{decision: placing.Decision{HasAccountWork: true}}
	l.addFields(line)
	if line["account_work_ms"] != int64(0) {
		t.Errorf("%v", line)
	}
	line, l = logrus.Fields{}, requestLog{}
	l.addFields(line)
	if _, found := line["account_work_ms"]; found {
		t.Errorf("%v without fair shares", line)
	}
}
