package gateway

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/edge/placing"
	"github.com/yuccaroute/yuccaroute/edge/site"
)

// loadCounts counts statements of loads.
type loadCounts struct {
	noMetrics
	stated, malformed int
	errors            []time.Duration
}

func (c *loadCounts) LoadStated(_ string, malformed bool) {
	if malformed {
		c.malformed++
		return
	}
	c.stated++
}

func (c *loadCounts) ExpectedError(_ string, by time.Duration) { c.errors = append(c.errors, by) }

// Answers to requests and probes must reach the balancer, malformed statements only the metrics, and a
// change of the number of slots the log.
func TestLoadOfAnswersIsRecorded(t *testing.T) {
	var out bytes.Buffer
	logger, counts := logrus.New(), &loadCounts{}
	logger.SetOutput(&out)
	now := time.Now()
	b := placing.New(placing.Options{
		VM: "vm", Zone: "a1", Region: "a", RegionOf: map[string]string{"a1": "a"}, RTT: func(string) time.Duration { return 0 },
		Policy: placing.Policy{StatedLoad: true},
	})
	b.SetTargets(now, map[string]site.Service{"s": {}}, []placing.TargetSpec{{Target: site.Target{ID: "t", Service: "s", Zone: "a1", Slots: 4}}}, nil)
	r := &placing.Request{Service: "s", Class: placing.NewClass(time.Second), Objective: now.Add(time.Hour), Deadline: now.Add(time.Hour)}
	d, _ := b.Place(now, r)
	var load site.Load
	g := &Gateway{options: Options{
		Logger: logrus.NewEntry(logger), TargetLimits: &lastLimit{}, Metrics: counts, Balancer: b,
		ReadStatement: func(int, http.Header) site.Statement { return site.Statement{Load: load} },
	}}
	for _, load = range []site.Load{{Known: true, Running: 1, Slots: 3, Pace: 2.5}, {Malformed: true}, {}} {
		g.observe(g.newSending(d.Target, "1"), http.StatusOK, http.Header{})
	}
	if counts.stated != 1 || counts.malformed != 1 || strings.Count(out.String(), "another number of slots") != 1 {
		t.Errorf("%d stated, %d malformed, log %s", counts.stated, counts.malformed, out.String())
	}
	// A target whose statements alternate must not fill the log.
	for i := range 100 {
		load = site.Load{Known: true, Slots: 3 + i%2, Pace: 2.5}
		g.observe(g.newSending(d.Target, "1"), http.StatusOK, http.Header{})
	}
	if n := strings.Count(out.String(), "another number of slots"); n > 3 {
		t.Errorf("%d log lines of 100 changes", n)
	}
	load = site.Load{Known: true, Running: 1, Slots: 3, Pace: 2.5}
	g.observe(g.newSending(d.Target, "1"), http.StatusOK, http.Header{})
	next, _ := b.Place(time.Now(), r)
	line := logrus.Fields{}
	(&requestLog{decision: next, targets: []string{"t"}}).addFields(line)
	if line["pace"] != 2.5 || line["load_age_ms"] == nil || line["slots"] != 3 {
		t.Errorf("%v", line)
	}
	if d.Pace != 0 {
		t.Errorf("pace %v before the target has stated one", d.Pace)
	}
}
