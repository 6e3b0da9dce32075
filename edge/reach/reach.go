// Package reach tracks whether this VM reaches the targets of each service in each region. It does no
// I/O.
//
// A VM from which all targets are cut off fails every request, although other VMs serve theirs. The
// failures of single targets do not show it: a connection that hangs or breaks may be the fault of a
// target. A group of targets is therefore suspected when several of them fail and none answers, and
// found unreached when none of a few targets answers a probe on a new connection; if they are silent, as
// busy ones may be, in two rounds. Whether the targets or
// their path have failed makes no difference: this VM does not use them, and other VMs do not ask it to.
package reach

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/placing"
)

const (
	// minTargets is how many targets must fail, or requests be overdue, before their group is suspected.
	minTargets = 2
	// settleTime is how long they must have failed: connections may break together.
	settleTime = 150 * time.Millisecond
	// minSilence and silenceFactor, times the expected duration, are how long nothing may be heard of a
	// group until a request to it is overdue.
	minSilence    = 400 * time.Millisecond
	silenceFactor = 2
	// suspicionInterval is how long a group is not suspected again after a suspicion that was wrong.
	suspicionInterval = time.Second
	// probeInterval is the time between two rounds of probes of an unreached group.
	probeInterval = 500 * time.Millisecond
	// suspectProbes and returnProbes are the targets that a round probes.
	suspectProbes = 3
	returnProbes  = 2
	// rampTime is how long it takes until this VM sends all requests itself to a service that it did not
	// reach: all its connections are new.
	rampTime = 1500 * time.Millisecond
)

// Group is the targets of one service in one region.
type Group struct{ Service, Region string }

// ID identifies the group in reports, identically on all VMs.
func (g Group) ID() uint32 { return placing.TargetKey(placing.HashOf(g.Service + "\x00" + g.Region)) }

// Phase is what this VM believes of a group.
type Phase int

// Phases of a group.
const (
	// Reached: its targets answer, or nothing shows that they do not.
	Reached Phase = iota
	// Suspected: several targets fail and none answers; probes are under way.
	Suspected
	// Unreached: no target answers.
	Unreached
)

// String implements fmt.Stringer.
func (p Phase) String() string { return [...]string{"reached", "suspected", "unreached"}[p] }

// Change is a new phase of a group, and what it was decided on.
type Change struct {
	Group    Group
	Phase    Phase
	Previous Phase
	// Lasted is how long the previous phase lasted, HeardAge the time since the last answer, 0 if there
	// was none.
	Lasted, HeardAge time.Duration
	// Lost and Refused count the targets that lost requests, and whose new connections failed; Overdue
	// counts the requests whose answers are late.
	Lost, Overdue, Refused int
	Probes                 Probes
}

// Probes is the result of a round of probes on new connections. Silent counts those that were connected
// and got neither an answer nor an error in time, and those of a busy VM that were not connected in time.
type Probes struct{ Asked, Connected, Answered, Silent int }

// Round is a round of probes that is due.
type Round struct {
	Group Group
	// Targets is how many targets to probe, Number the number of the round.
	Targets, Number int
	// Patient is set if the targets were silent in the last round: they may be busy.
	Patient bool
}

// End is how an attempt at a target ended.
type End int

// Ends of an attempt.
const (
	// Answered: the target returned a response, also one that refuses the request.
	Answered End = iota
	// Lost: the connection broke.
	Lost
	// Abandoned: the caller left, the deadline passed, or the request was not sent.
	Abandoned
)

// Attempt is a request on its way to a target.
type Attempt struct {
	group  *group
	target uint64
	sentAt time.Time
	// limit is how long nothing may be heard until the attempt is overdue.
	limit time.Duration
}

// Tracker is safe for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	groups   map[Group]*group
	services map[string]*service
	// relaying mirrors isRelaying for the request path.
	relaying atomic.Bool
}

// service is what the groups of a service have in common.
type service struct {
	groups []*group
	// returnedAt is when the first group of a service without any was reached again.
	returnedAt time.Time
}

// New returns a tracker without groups.
func New() *Tracker {
	return &Tracker{groups: make(map[Group]*group), services: make(map[string]*service)}
}

// SetGroups sets the groups and how many targets each has. One that was not reached is kept without
// targets until its next probe, so that its return is told.
func (t *Tracker) SetGroups(now time.Time, targets map[Group]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, g := range t.groups {
		g.targets = targets[id]
		if g.targets == 0 && g.phase == Reached {
			delete(t.groups, id)
		}
	}
	for id, n := range targets {
		if t.groups[id] == nil {
			t.groups[id] = newGroup(id, now)
		}
		t.groups[id].targets = n
	}
	t.groupByService()
}

func (t *Tracker) groupByService() {
	old := t.services
	t.services = make(map[string]*service)
	for id, g := range t.groups {
		s := t.services[id.Service]
		if s == nil {
			s = &service{}
			if known := old[id.Service]; known != nil {
				s.returnedAt = known.returnedAt
			}
			t.services[id.Service] = s
		}
		s.groups = append(s.groups, g)
	}
}

// Begin records that a request is sent to a target; expected is how long it should take.
func (t *Tracker) Begin(now time.Time, id Group, target uint64, expected time.Duration) *Attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groups[id]
	if g == nil {
		return &Attempt{}
	}
	a := &Attempt{group: g, target: target, sentAt: now, limit: max(minSilence, silenceFactor*expected)}
	g.inFlight[a] = struct{}{}
	return a
}

// Heard records that the target has begun to answer.
func (t *Tracker) Heard(now time.Time, a *Attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a.group.heard(now)
}

// End records how an attempt ended; fresh is set if it was the first one on its connection.
func (t *Tracker) End(now time.Time, a *Attempt, end End, fresh bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := a.group
	if g == nil {
		return
	}
	delete(g.inFlight, a)
	switch {
	case end == Answered:
		g.heard(now)
		if fresh {
			g.refused.clear()
		}
	case end == Lost || g.isOverdue(now, a):
		g.lost.add(now, a.target)
		if fresh && end == Lost {
			g.refused.add(now, a.target)
		}
	}
}

// NotConnected records that no connection to a target could be opened.
func (t *Tracker) NotConnected(now time.Time, id Group, target uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if g := t.groups[id]; g != nil {
		g.refused.add(now, target)
	}
}

// Tick returns the groups that have become suspected, and the rounds of probes that are due.
func (t *Tracker) Tick(now time.Time) (changes []Change, rounds []Round) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range t.groups {
		switch {
		case g.phase == Reached && g.isFailing(now):
			changes = append(changes, g.enter(now, Suspected, Probes{}))
			rounds = append(rounds, g.nextRound(suspectProbes))
			doubtOthers(now, t.services[g.id.Service].groups)
		case g.phase == Suspected && !g.probing:
			rounds = append(rounds, g.nextRound(suspectProbes))
		case g.phase == Unreached && !g.probing && !now.Before(g.probeAt):
			rounds = append(rounds, g.nextRound(returnProbes))
		}
	}
	t.relaying.Store(t.isRelaying(now))
	return changes, rounds
}

// Probed records the result of a round of probes.
func (t *Tracker) Probed(now time.Time, id Group, p Probes) (changes []Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groups[id]
	if g == nil || !g.probing {
		return nil
	}
	g.probing, g.probeAt = false, now.Add(probeInterval)
	switch {
	case g.phase == Suspected && g.isRefutedBy(p), g.phase == Unreached && (p.showReturn() || g.answered && p.Answered > 0):
		t.noteReturn(now, g)
		changes = append(changes, g.enter(now, Reached, p))
		if g.targets == 0 {
			// Kept, it would count as reached beside groups that are not.
			delete(t.groups, id)
			t.groupByService()
		}
	case g.phase == Unreached:
		g.answered = p.Answered > 0
	case g.phase == Suspected && p.Silent > 0 && !g.silent:
		g.silent = true
	case g.phase == Suspected:
		changes = append(changes, g.enter(now, Unreached, p))
		for _, s := range t.services {
			doubtOthers(now, s.groups)
		}
	}
	t.relaying.Store(t.isRelaying(now))
	return changes
}

// showReturn reports whether a single round of probes shows that an unreached group is reached again. Some may
// be silent, as the targets are busy. If others fail, as targets that have ended do, the next round must have an
// answer too: it probes other targets, so that two answers in a row show that a good part of them is reached.
func (p Probes) showReturn() bool {
	return p.Asked == 0 || p.Answered > 0 && p.Answered+p.Silent == p.Asked
}

// doubtOthers lets the groups of which nothing was heard lately be probed too: a VM often loses all
// targets at once, and those that get few requests or long ones would show it late.
func doubtOthers(now time.Time, groups []*group) {
	for _, g := range groups {
		g.doubted = g.doubted || g.phase == Reached && now.Sub(g.heardAt) > minSilence
	}
}

// noteReturn records the return of a service of which no group was reached.
func (t *Tracker) noteReturn(now time.Time, g *group) {
	if g.phase != Unreached {
		return
	}
	s := t.services[g.id.Service]
	for _, other := range s.groups {
		if other.phase != Unreached {
			return
		}
	}
	s.returnedAt = now
}

func (t *Tracker) isRelaying(now time.Time) bool {
	for _, g := range t.groups {
		if g.phase != Reached {
			return true
		}
	}
	for _, s := range t.services {
		if s.isReturning(now) {
			return true
		}
	}
	return false
}

func (s *service) isReturning(now time.Time) bool {
	return !s.returnedAt.IsZero() && now.Sub(s.returnedAt) < rampTime
}

// IsRelaying reports whether another VM may have to place requests for this one. It does not block.
func (t *Tracker) IsRelaying() bool { return t.relaying.Load() }

// Reaches reports whether this VM reaches targets of a service in an allowed region, or knows of none; nil
// allows all regions.
func (t *Tracker) Reaches(name string, allowed func(region string) bool) bool {
	if !t.relaying.Load() {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	return s == nil || s.isReached(allowed)
}

// MayReach is as Reaches, but true also if an allowed group is suspected.
func (t *Tracker) MayReach(name string, allowed func(region string) bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	if s == nil || s.isReached(allowed) {
		return true
	}
	return slices.ContainsFunc(s.groups, func(g *group) bool {
		return g.phase == Suspected && (allowed == nil || allowed(g.id.Region))
	})
}

func (s *service) isReached(allowed func(region string) bool) bool {
	known := false
	for _, g := range s.groups {
		if allowed != nil && !allowed(g.id.Region) {
			continue
		}
		if g.phase == Reached {
			return true
		}
		known = true
	}
	return !known
}

// RelaysFirst reports whether another VM, if one reaches the service, should place a request: this VM
// does not reach targets for it, or reaches them again and still leaves a part of the keys to others.
func (t *Tracker) RelaysFirst(now time.Time, name string, allowed func(region string) bool, key uint64) bool {
	if !t.relaying.Load() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	if s == nil {
		return false
	}
	if !s.isReached(allowed) {
		return true
	}
	return s.isReturning(now) && fraction(key) >= float64(now.Sub(s.returnedAt))/float64(rampTime)
}

// fraction maps a key to [0, 1).
func fraction(key uint64) float64 { return float64(key>>11) / (1 << 53) }

// Unreached returns the IDs of the unreached groups, and whether all groups are.
func (t *Tracker) Unreached() (ids []uint32, all bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, g := range t.groups {
		if g.phase == Unreached {
			ids = append(ids, id.ID())
		}
	}
	return ids, len(ids) > 0 && len(ids) == len(t.groups)
}

// PhaseOf returns the phase of a group, Reached for one that is not known.
func (t *Tracker) PhaseOf(id Group) Phase {
	t.mu.Lock()
	defer t.mu.Unlock()
	if g := t.groups[id]; g != nil {
		return g.phase
	}
	return Reached
}

// Status is the phase of a group and how long it has lasted.
type Status struct {
	Group Group
	Phase Phase
	For   time.Duration
}

// Statuses returns the status of each group, in no particular order.
func (t *Tracker) Statuses(now time.Time) []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Status, 0, len(t.groups))
	for id, g := range t.groups {
		list = append(list, Status{Group: id, Phase: g.phase, For: now.Sub(g.since)})
	}
	return list
}
