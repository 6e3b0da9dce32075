// Package account tells, from the log lines of all VMs, which requests were late, refused
// or failed, and why. It reads streams of any length in bounded memory.
package account

import (
	"math"
	"sort"
	"time"
)

// Options configure an account.
type Options struct {
	// Network is what the time between caller and VM adds to each answer.
	Network time.Duration
}

// Counts are requests by how they ended.
type Counts struct {
	InObjective int           `json:"in_objective"`
	Late        int           `json:"late"`
	Refused     int           `json:"refused"`
	Failed      int           `json:"failed"`
	CallerLeft  int           `json:"caller_left"`
	Causes      map[Cause]int `json:"causes,omitempty"`
}

// Total returns all requests.
func (c *Counts) Total() int { return c.InObjective + c.Late + c.Refused + c.Failed + c.CallerLeft }

func (c *Counts) add(cause Cause) {
	if c.Causes == nil {
		c.Causes = make(map[Cause]int)
	}
	c.Causes[cause]++
}

// Group is the requests with one key.
type Group struct {
	Key string `json:"key"`
	Counts
}

// Report is what a log shows.
type Report struct {
	// Requests is how many requests were read, Bad how many lines could not be.
	Requests int `json:"requests"`
	BadLines int `json:"bad_lines"`
	All      Counts
	// ByRoute, ByRegion (of the VM that the caller asked) and BySecond (since the first
	// line) are sorted by their keys.
	ByRoute  []Group `json:"by_route"`
	ByRegion []Group `json:"by_region"`
	BySecond []Point `json:"by_second"`
}

// Point is the requests that ended in one second.
type Point struct {
	Second int `json:"second"`
	Counts
	// SlowRuns took long at their target. Expected and Seen are the mean times from
	// placing to the end, in milliseconds.
	SlowRuns int     `json:"slow_runs"`
	Expected float64 `json:"expected_ms"`
	Seen     float64 `json:"seen_ms"`
	answered int
}

// Read accounts for the lines of all sources. It returns an error if a source cannot be
// read; lines that cannot be are counted.
func Read(o Options, sources ...Source) (*Report, error) {
	r := &reader{
		options: o, memory: newMemory(), usual: make(map[class]*usual), regions: make(map[string]string),
		routes: make(map[string]*Counts), places: make(map[string]*Counts), seconds: make(map[int]*Point), began: -1,
	}
	bad, err := merge(sources, r.take)
	if err != nil {
		return nil, err
	}
	r.account.BadLines = bad
	r.account.ByRoute, r.account.ByRegion = groups(r.routes), groups(r.places)
	for _, p := range r.seconds {
		if p.answered > 0 {
			p.Expected /= float64(p.answered)
			p.Seen /= float64(p.answered)
		}
		r.account.BySecond = append(r.account.BySecond, *p)
	}
	sort.Slice(r.account.BySecond, func(i, j int) bool { return r.account.BySecond[i].Second < r.account.BySecond[j].Second })
	return &r.account, nil
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
	options Options
	account Report
	memory  *memory
	usual   map[class]*usual
	// regions of VMs, by name.
	regions map[string]string
	routes  map[string]*Counts
	places  map[string]*Counts
	seconds map[int]*Point
	// began is the time of the first line, negative before it.
	began time.Duration
}

// class is a kind of request whose runs usually take alike; far tells the regions apart.
type class struct {
	route, service string
	far            bool
}

func (r *reader) take(e entry) {
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
	r.account.Requests++
	p := r.second(e.at)
	slow := r.causeOfRun(&e)
	if slow != "" {
		p.SlowRuns++
	}
	own := r.regions[e.vm]
	for _, c := range []*Counts{&r.account.All, countsOf(r.routes, e.Route), countsOf(r.places, own), &p.Counts} {
		r.count(c, &e, slow)
	}
	if e.Result == "ok" && len(e.TookMS) > 0 {
		p.answered++
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

// count adds a request to one group; slow is why its last run took long, if it did.
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

// waitedShare of the objective in the queue makes the queue the cause.
const waitedShare = 0.33

func (r *reader) causeOfLate(e *entry, slow Cause) Cause {
	switch {
	case e.Sent > 1:
		return Retried
	case slow != "":
		return slow
	case float64(e.WaitedMS) > waitedShare*float64(e.ObjectiveMS):
		return QueueWait
	case r.isFar(e):
		return OtherRegion
	}
	return LateUnexplained
}

func (r *reader) isFar(e *entry) bool {
	own := r.regions[e.vm]
	return own != "" && e.Region != "" && e.Region != own
}

// causeOfRun takes in the last run of a request and tells why it took long, "" if it
// did not.
func (r *reader) causeOfRun(e *entry) Cause {
	last := len(e.Targets) - 1
	if last < 0 || last >= len(e.TookMS) || e.Result != "ok" {
		return ""
	}
	took := time.Duration(e.TookMS[last]) * time.Millisecond
	kind := class{e.Route, e.Service, r.isFar(e)}
	u := r.usual[kind]
	if u == nil {
		u = &usual{}
		r.usual[kind] = u
	}
	ratio := u.ratio(took)
	u.note(took)
	if e.Key == "" {
		return ""
	}
	key := e.Service + " " + e.Key
	at := r.memory.target(e.Targets[last], e.at)
	_, known := at.lastEnd(key)
	cause := Cause("")
	if ratio > slowFrom {
		cause = r.memory.causeOfSlow(at, key, e.at-took)
	}
	if known {
		at.pace += slowRate * (min(ratio, maxRatio) - at.pace)
	}
	r.memory.note(at, key, e.at)
	return cause
}

// maxRatio bounds what one run adds to the pace of a target.
const maxRatio = 10

// usual is the time of a warm run of a kind of request, by bins of a tenth each: that of
// the fastest tenth, as most runs of a route may be cold.
type usual struct {
	bins  [128]int
	total int
}

// binsPerE is how many bins a factor of e has.
const binsPerE = 10

func binOf(took time.Duration) int {
	return min(max(0, int(binsPerE*math.Log(max(1, float64(took)/float64(time.Millisecond))))), len(usual{}.bins)-1)
}

func (u *usual) note(took time.Duration) {
	u.bins[binOf(took)]++
	u.total++
}

const (
	// minUsual is how many runs it takes to know what is usual.
	minUsual = 20
	// fastest is one part of how many of the runs that is taken to be warm.
	fastest = 10
)

// ratio is how many times as long as a warm run one took, 1 while that is not known.
func (u *usual) ratio(took time.Duration) float64 {
	if u.total < minUsual {
		return 1
	}
	sum, at := 0, 0
	for at = range u.bins {
		if sum += u.bins[at]; fastest*sum >= u.total {
			break
		}
	}
	warm := math.Exp((float64(at) + 0.5) / binsPerE)
	return float64(took) / float64(time.Millisecond) / warm
}
