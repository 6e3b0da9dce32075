// Package account analyses the log lines of all VMs: which requests were late, refused or
// failed, and why. It processes streams of any length in bounded memory.
package account

import (
	"math"
	"sort"
	"time"
)

// Options configure Read.
type Options struct {
	// Network is the round-trip time between caller and VM, added to each response time.
	Network time.Duration
}

// Counts are numbers of requests by outcome.
type Counts struct {
	InObjective int           `json:"in_objective"`
	Late        int           `json:"late"`
	Refused     int           `json:"refused"`
	Failed      int           `json:"failed"`
	CallerLeft  int           `json:"caller_left"`
	Causes      map[Cause]int `json:"causes,omitempty"`
}

// Total returns the number of requests.
func (c *Counts) Total() int { return c.InObjective + c.Late + c.Refused + c.Failed + c.CallerLeft }

func (c *Counts) add(cause Cause) {
	if c.Causes == nil {
		c.Causes = make(map[Cause]int)
	}
	c.Causes[cause]++
}

// Group holds the counts of requests with the same key.
type Group struct {
	Key string `json:"key"`
	Counts
}

// Report is the result of the analysis.
type Report struct {
	// Requests is the number of requests read, BadLines the number of unreadable lines.
	Requests int `json:"requests"`
	BadLines int `json:"bad_lines"`
	All      Counts
	// ByRoute, ByAccount (client account), ByRegion (region of the entry VM) and BySecond (since the first line) are
	// sorted by key.
	ByRoute   []Group `json:"by_route"`
	ByAccount []Group `json:"by_account,omitempty"`
	ByRegion  []Group `json:"by_region"`
	BySecond  []Point `json:"by_second"`
}

// Point holds the counts of requests that ended in one second.
type Point struct {
	Second int `json:"second"`
	Counts
	// SlowRuns is the number of slow runs at targets. Expected and Seen are the mean times
	// from placement to the response, in milliseconds.
	SlowRuns  int     `json:"slow_runs"`
	Expected  float64 `json:"expected_ms"`
	Seen      float64 `json:"seen_ms"`
	responses int
}

// Read analyses the lines of all sources. It returns an error if a source cannot be read;
// unreadable lines are only counted.
func Read(o Options, sources ...Source) (*Report, error) {
	r := &reader{
		options: o, history: newHistory(), latencies: make(map[class]*latencyHistogram), regions: make(map[string]string),
		routes: make(map[string]*Counts), accounts: make(map[string]*Counts), vmRegions: make(map[string]*Counts), seconds: make(map[int]*Point), began: -1,
	}
	bad, err := merge(sources, r.add)
	if err != nil {
		return nil, err
	}
	r.report.BadLines = bad
	r.report.ByRoute, r.report.ByAccount, r.report.ByRegion = groups(r.routes), groups(r.accounts), groups(r.vmRegions)
	for _, p := range r.seconds {
		if p.responses > 0 {
			p.Expected /= float64(p.responses)
			p.Seen /= float64(p.responses)
		}
		r.report.BySecond = append(r.report.BySecond, *p)
	}
	sort.Slice(r.report.BySecond, func(i, j int) bool { return r.report.BySecond[i].Second < r.report.BySecond[j].Second })
	return &r.report, nil
}

func groups(all map[string]*Counts) []Group {
	var list []Group
	for key, counts := range all {
		list = append(list, Group{key, *counts})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	return list
}

type reader struct {
	options   Options
	report    Report
	history   *history
	latencies map[class]*latencyHistogram
	// regions maps VM names to regions.
	regions   map[string]string
	routes    map[string]*Counts
	accounts  map[string]*Counts
	vmRegions map[string]*Counts
	seconds   map[int]*Point
	// began is the time of the first request, negative before it.
	began time.Duration
}

// class is a set of requests with similar run times.
type class struct {
	route, service string
	otherRegion    bool
}

func (r *reader) add(e entry) {
	if e.Message == messageStarted {
		r.regions[e.vm] = e.Region
		return
	}
	if e.Route == "" {
		return
	}
	if r.began < 0 {
		r.began = e.at
	}
	r.report.Requests++
	p := r.second(e.at)
	slow := r.recordRun(&e)
	if slow != "" {
		p.SlowRuns++
	}
	own := r.regions[e.vm]
	counts := []*Counts{&r.report.All, countsOf(r.routes, e.Route), countsOf(r.vmRegions, own), &p.Counts}
	if e.Account != "" {
		counts = append(counts, countsOf(r.accounts, e.Account))
	}
	for _, c := range counts {
		r.count(c, &e, slow)
	}
	if e.Result == "ok" && len(e.TookMS) > 0 {
		p.responses++
		p.Expected += float64(e.Expected)
		p.Seen += float64(e.TookMS[len(e.TookMS)-1])
	}
}

func (r *reader) second(at time.Duration) *Point {
	second := int((at - r.began) / time.Second)
	p := r.seconds[second]
	if p == nil {
		p = &Point{Second: second}
		r.seconds[second] = p
	}
	return p
}

func countsOf(all map[string]*Counts, key string) *Counts {
	c := all[key]
	if c == nil {
		c = &Counts{}
		all[key] = c
	}
	return c
}

// count adds a request to the counts; slow is the cause if its last run was slow.
func (r *reader) count(c *Counts, e *entry, slow Cause) {
	switch {
	case e.Result == "caller-gone":
		c.CallerLeft++
	case e.Sent == 0 && e.mayHaveRun():
		c.Failed++
		c.add(OwnerLost)
	case e.Sent == 0:
		c.Refused++
		c.add(causeOfRefusal(e))
	case e.Result != "ok" || e.Status >= 500:
		c.Failed++
		c.add(causeOfFailure(e))
	case r.inObjective(e):
		c.InObjective++
	default:
		c.Late++
		c.add(r.causeOfLate(e, slow))
	}
}

func (r *reader) inObjective(e *entry) bool {
	return e.ObjectiveMS == 0 || time.Duration(e.MS)*time.Millisecond+r.options.Network <= time.Duration(e.ObjectiveMS)*time.Millisecond
}

// queueWaitShare is the share of the objective above which queueing is the cause of lateness.
const queueWaitShare = 0.33

func (r *reader) causeOfLate(e *entry, slow Cause) Cause {
	switch {
	case e.Sent > 1:
		return Retried
	case slow != "":
		return slow
	case float64(e.WaitedMS) > queueWaitShare*float64(e.ObjectiveMS):
		return QueueWait
	case r.inOtherRegion(e):
		return OtherRegion
	}
	return LateUnexplained
}

func (r *reader) inOtherRegion(e *entry) bool {
	own := r.regions[e.vm]
	return own != "" && e.Region != "" && e.Region != own
}

// recordRun records the last run of a request and returns the cause if it was slow, else "".
func (r *reader) recordRun(e *entry) Cause {
	last := len(e.Targets) - 1
	if last < 0 || last >= len(e.TookMS) || e.Result != "ok" {
		return ""
	}
	took := time.Duration(e.TookMS[last]) * time.Millisecond
	kind := class{e.Route, e.Service, r.inOtherRegion(e)}
	u := r.latencies[kind]
	if u == nil {
		u = &latencyHistogram{}
		r.latencies[kind] = u
	}
	ratio := u.ratio(took)
	u.record(took)
	if e.Key == "" {
		return ""
	}
	key := e.Service + " " + e.Key
	at := r.history.target(e.Targets[last], e.at)
	_, known := at.lastEnd(key)
	cause := Cause("")
	if ratio > slowThreshold {
		cause = r.history.causeOfSlow(at, key, e.at-took)
	}
	if known {
		at.slowdown += slowdownWeight * (min(ratio, maxSlowdown) - at.slowdown)
	}
	r.history.record(at, key, e.at)
	return cause
}

// maxSlowdown limits the effect of one run on a target's slowdown.
const maxSlowdown = 10

// latencyHistogram estimates the time of a warm run. It uses a low percentile, as most runs
// of a route may be cold.
type latencyHistogram struct {
	bins  [128]int
	total int
}

// binsPerE is the number of bins per factor of e.
const binsPerE = 10

func binOf(took time.Duration) int {
	return min(max(0, int(binsPerE*math.Log(max(1, float64(took)/float64(time.Millisecond))))), len(latencyHistogram{}.bins)-1)
}

func (u *latencyHistogram) record(took time.Duration) {
	u.bins[binOf(took)]++
	u.total++
}

const (
	// minSamples is the number of runs needed for an estimate.
	minSamples = 20
	// warmDivisor: the fastest 1/warmDivisor of the runs count as warm.
	warmDivisor = 10
)

// ratio returns the time relative to a warm run, 1 without an estimate.
func (u *latencyHistogram) ratio(took time.Duration) float64 {
	if u.total < minSamples {
		return 1
	}
	sum, at := 0, 0
	for at = range u.bins {
		if sum += u.bins[at]; warmDivisor*sum >= u.total {
			break
		}
	}
	warm := math.Exp((float64(at) + 0.5) / binsPerE)
	return float64(took) / float64(time.Millisecond) / warm
}
