package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/edge/placing"
	"github.com/yuccaroute/yuccaroute/edge/ratelimit"
	"github.com/yuccaroute/yuccaroute/edge/site"
)

// lastLimit records the last observation.
type lastLimit struct {
	ratelimit.Observation
	observed int
}

func (l *lastLimit) Now() time.Time { return time.Now() }
func (l *lastLimit) Observe(o ratelimit.Observation, _ time.Time) bool {
	l.Observation = o
	l.observed++
	return true
}

// A target that states a malformed limit must not thereby withdraw the one in force, nor fill the log.
func TestMalformedLimitDoesNotWithdrawOne(t *testing.T) {
	var out strings.Builder
	logger, last := logrus.New(), &lastLimit{}
	logger.SetOutput(&out)
	g := &Gateway{options: Options{
		Fields: site.FieldNames{Stamp: "X-Stamp"}, Logger: logrus.NewEntry(logger), TargetLimits: last,
		ReadStatement: func(_ int, h http.Header) site.Statement {
			rate, err := strconv.ParseFloat(h.Get("X-Limit"), 64)
			return site.Statement{Limited: err == nil, Rate: rate, Malformed: err}
		},
	}}
	for _, text := range []string{"2", "many", "", "many"} {
		h := http.Header{"X-Stamp": {"s"}, "X-Limit": {text}}
		g.observe(g.newSending(&placing.Target{}, "1"), http.StatusOK, h)
	}
	if last.observed != 1 || !last.Limited || last.Rate != 2 {
		t.Errorf("%d observations, the last one %+v, want only the limit of 2", last.observed, last.Observation)
	}
	if lines := strings.Count(out.String(), "something malformed"); lines != 1 {
		t.Errorf("%d lines on malformed statements, want 1: %s", lines, out.String())
	}
}
