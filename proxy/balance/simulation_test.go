package balance

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

// This file holds a discrete-event simulation of targets and entry nodes in one
// place. Its seed is fixed, so that all selection policies see the same load.

const (
	simTargets   = 16
	simSlots     = 3
	simQueue     = 8
	simService   = 10 * time.Millisecond
	simDeadline  = time.Second
	simLength    = 20 * time.Second
	simWarmUp    = 2 * time.Second
	simBaseLoad  = 0.6
	simPeakLoad  = 0.9
	simPeakFrom  = 15 * time.Second
	simPeakUntil = 17 * time.Second
)

// policy selects targets for one node, using only what that node can observe.
type policy interface {
	choose(now int64, random *rand.Rand) int
	sent(target int)
	// ended records the outcome of a request; load is the report in the response.
	ended(target int, o outcome, latency time.Duration, load int, now int64)
}

type outcome uint8

const (
	served outcome = iota
	shed
	failed
	timedOut
)

// simTarget is the actual state of a target.
type simTarget struct {
	running    int
	waiting    []simRequest
	started    int
	report     int
	reportedAt int64
}

type simRequest struct {
	node, target int
	start        int64
}

type simEvent struct {
	at  int64
	seq int
	run func(now int64)
}

type simEventQueue []simEvent

func (q simEventQueue) Len() int { return len(q) }
func (q simEventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simEventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simEventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simEventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simResult counts outcomes as seen by callers.
type simResult struct {
	sent, refused, failed int
	latencies             []time.Duration
}

func (r *simResult) quantile(q float64) time.Duration {
	slices.Sort(r.latencies)
	return r.latencies[int(q*float64(len(r.latencies)-1))]
}

type simulation struct {
	random    *rand.Rand
	nodeShare float64
	events    simEventQueue
	seq       int
	targets   [simTargets]simTarget
	nodes     []policy
	lag       time.Duration
	result    simResult
}

// simulate runs the load script. Load reports are up to lag old; target 1 always
// reports that it is idle.
func simulate(newPolicy func() policy, nodes int, lag time.Duration) *simResult {
	s := &simulation{random: rand.New(rand.NewPCG(4, 2)), lag: lag, nodeShare: 1 / float64(nodes)}
	for i := range s.targets {
		s.targets[i].reportedAt = -int64(lag)
	}
	for n := range nodes {
		s.nodes = append(s.nodes, newPolicy())
		s.arrive(n, 0)
	}
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(simEvent)
		e.run(e.at)
	}
	return &s.result
}

func (s *simulation) schedule(now int64, d time.Duration, run func(now int64)) {
	s.seq++
	heap.Push(&s.events, simEvent{at: now + int64(d), seq: s.seq, run: run})
}

// arrive schedules the next request of a node.
func (s *simulation) arrive(node int, now int64) {
	load := simBaseLoad
	if at := time.Duration(now); at >= simPeakFrom && at < simPeakUntil {
		load = simPeakLoad
	}
	perSecond := load * simTargets * simSlots / simService.Seconds() * s.nodeShare
	delay := time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second))
	s.schedule(now, delay, func(now int64) {
		if time.Duration(now) >= simLength {
			return
		}
		s.request(node, now)
		s.arrive(node, now)
	})
}

func (s *simulation) request(node int, now int64) {
	target := s.nodes[node].choose(now, s.random)
	if time.Duration(now) >= simWarmUp {
		s.result.sent++
	}
	if target < 0 {
		s.count(shed, now, now)
		return
	}
	s.nodes[node].sent(target)
	r := simRequest{node: node, target: target, start: now}
	t := &s.targets[target]
	switch {
	case target == 2 && between(now, 6, 12):
		s.schedule(now, time.Millisecond, func(now int64) { s.end(r, failed, now) })
	case target == 4 && between(now, 12, 14):
		s.schedule(now, simDeadline, func(now int64) { s.end(r, timedOut, now) })
	case t.running < simSlots:
		s.run(r, now)
	case len(t.waiting) < simQueue:
		t.waiting = append(t.waiting, r)
	default:
		s.end(r, shed, now)
	}
}

func between(now int64, from, until int) bool {
	return now >= int64(from)*int64(time.Second) && now < int64(until)*int64(time.Second)
}

func (s *simulation) run(r simRequest, now int64) {
	t := &s.targets[r.target]
	t.running++
	t.started++
	duration := float64(simService) * (0.5 + s.random.Float64())
	// Target 0 is slow for a while; target 3 restarts cold.
	if r.target == 0 && between(now, 4, 10) {
		duration *= 4
	}
	if r.target == 3 && between(now, 8, 10) {
		duration *= 5
	}
	s.schedule(now, time.Duration(duration), func(now int64) {
		t.running--
		s.end(r, served, now)
		if len(t.waiting) > 0 {
			next := t.waiting[0]
			t.waiting = t.waiting[1:]
			s.run(next, now)
		}
	})
}

func (s *simulation) end(r simRequest, o outcome, now int64) {
	s.nodes[r.node].ended(r.target, o, time.Duration(now-r.start), s.reportOf(r.target, now), now)
	s.count(o, r.start, now)
}

func (s *simulation) count(o outcome, start, now int64) {
	if time.Duration(start) < simWarmUp {
		return
	}
	switch o {
	case served:
		s.result.latencies = append(s.result.latencies, time.Duration(now-start))
	case shed:
		s.result.refused++
	default:
		s.result.failed++
	}
}

// reportOf returns the load report of the target, renewed once per lag.
func (s *simulation) reportOf(target int, now int64) int {
	if target == 1 {
		return 0
	}
	t := &s.targets[target]
	if now-t.reportedAt >= int64(s.lag) {
		t.report = t.running + len(t.waiting)
		t.reportedAt = now
	}
	return t.report
}
