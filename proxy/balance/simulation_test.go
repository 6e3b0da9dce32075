package balance

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

// This file is a small discrete simulation of targets and entry nodes in one
// place, with a fixed seed: the same load script for every way to choose.

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

// chooser is one node's way to choose. It learns only what a node can see.
type chooser interface {
	choose(now int64, random *rand.Rand) int
	sent(target int)
	// ended tells how a request ended; load is the report in the answer.
	ended(target int, end ending, took time.Duration, load int, now int64)
}

type ending uint8

const (
	served ending = iota
	shed
	failed
	silent
)

// simTarget is a target as it really is.
type simTarget struct {
	running int
	waiting []simRequest
	begun   int
	report  int
	asked   int64
}

type simRequest struct {
	node, target int
	began        int64
}

type simEvent struct {
	at   int64
	seq  int
	what func(now int64)
}

type simQueueOfEvents []simEvent

func (q simQueueOfEvents) Len() int { return len(q) }
func (q simQueueOfEvents) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simQueueOfEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueueOfEvents) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueueOfEvents) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simResult is what callers saw.
type simResult struct {
	sent, refused, failed int
	latencies             []time.Duration
}

func (r *simResult) quantile(q float64) time.Duration {
	slices.Sort(r.latencies)
	return r.latencies[int(q*float64(len(r.latencies)-1))]
}

type simulation struct {
	random  *rand.Rand
	share   float64
	events  simQueueOfEvents
	seq     int
	targets [simTargets]simTarget
	nodes   []chooser
	lag     time.Duration
	result  simResult
}

// simulate runs the script. Reports of load are up to lag old, and the one of
// target 1 always says idle.
func simulate(newChooser func() chooser, nodes int, lag time.Duration) *simResult {
	s := &simulation{random: rand.New(rand.NewPCG(4, 2)), lag: lag, share: 1 / float64(nodes)}
	for i := range s.targets {
		s.targets[i].asked = -int64(lag)
	}
	for n := range nodes {
		s.nodes = append(s.nodes, newChooser())
		s.arrive(n, 0)
	}
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(simEvent)
		e.what(e.at)
	}
	return &s.result
}

func (s *simulation) after(now int64, d time.Duration, what func(now int64)) {
	s.seq++
	heap.Push(&s.events, simEvent{at: now + int64(d), seq: s.seq, what: what})
}

// arrive makes the next request of a node come.
func (s *simulation) arrive(node int, now int64) {
	load := simBaseLoad
	if at := time.Duration(now); at >= simPeakFrom && at < simPeakUntil {
		load = simPeakLoad
	}
	perSecond := load * simTargets * simSlots / simService.Seconds() * s.share
	wait := time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second))
	s.after(now, wait, func(now int64) {
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
	r := simRequest{node: node, target: target, began: now}
	t := &s.targets[target]
	switch {
	case target == 2 && between(now, 6, 12):
		s.after(now, time.Millisecond, func(now int64) { s.end(r, failed, now) })
	case target == 4 && between(now, 12, 14):
		s.after(now, simDeadline, func(now int64) { s.end(r, silent, now) })
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
	t.begun++
	took := float64(simService) * (0.5 + s.random.Float64())
	// Target 0 is slow for a while; target 3 starts cold in the middle.
	if r.target == 0 && between(now, 4, 10) {
		took *= 4
	}
	if r.target == 3 && between(now, 8, 10) {
		took *= 5
	}
	s.after(now, time.Duration(took), func(now int64) {
		t.running--
		s.end(r, served, now)
		if len(t.waiting) > 0 {
			next := t.waiting[0]
			t.waiting = t.waiting[1:]
			s.run(next, now)
		}
	})
}

func (s *simulation) end(r simRequest, e ending, now int64) {
	s.nodes[r.node].ended(r.target, e, time.Duration(now-r.began), s.reportOf(r.target, now), now)
	s.count(e, r.began, now)
}

func (s *simulation) count(e ending, began, now int64) {
	if time.Duration(began) < simWarmUp {
		return
	}
	switch e {
	case served:
		s.result.latencies = append(s.result.latencies, time.Duration(now-began))
	case shed:
		s.result.refused++
	default:
		s.result.failed++
	}
}

// reportOf returns the target's report, which is renewed once in lag.
func (s *simulation) reportOf(target int, now int64) int {
	if target == 1 {
		return 0
	}
	t := &s.targets[target]
	if now-t.asked >= int64(s.lag) {
		t.report = t.running + len(t.waiting)
		t.asked = now
	}
	return t.report
}
