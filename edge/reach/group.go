package reach

import (
	"context"
	"time"
)

// group is the state of a Group. The tracker's lock guards it.
type group struct {
	id Group
	// targets is how many targets the group has.
	targets int
	phase   Phase
	since   time.Time
	// heardAt is when a target last answered; zero if none did.
	heardAt time.Time
	// lost holds the targets that have failed since the last answer, refused those that could not be
	// connected to since the last new connection.
	lost, refused evidence
	inFlight      map[*Attempt]struct{}
	// doubted is set if the group is to be probed without evidence of its own.
	doubted bool
	// trustedUntil is until when the group is not suspected again after probes that were answered.
	trustedUntil time.Time
	// probing is set while a round of probes is under way.
	probing bool
	probeAt time.Time
	rounds  int
	// cut is canceled when the group becomes unreached.
	cut    context.Context
	cancel context.CancelFunc
}

func newGroup(id Group, now time.Time) *group {
	g := &group{id: id, since: now, inFlight: make(map[*Attempt]struct{})}
	g.cut, g.cancel = context.WithCancel(context.Background())
	return g
}

// evidence is the set of targets that have failed, and the time of the first failure.
type evidence struct {
	targets map[uint64]struct{}
	since   time.Time
}

func (e *evidence) add(now time.Time, target uint64) {
	if len(e.targets) == 0 {
		e.targets, e.since = make(map[uint64]struct{}), now
	}
	e.targets[target] = struct{}{}
}

func (e *evidence) clear() { e.targets = nil }

func (e *evidence) suffices(now time.Time, need int) bool {
	return len(e.targets) >= need && now.Sub(e.since) >= settleTime
}

// heard records an answer. It does nothing for nil.
func (g *group) heard(now time.Time) {
	if g != nil {
		g.heardAt = now
		g.lost.clear()
	}
}

// need is how many targets must fail.
func (g *group) need() int { return min(minTargets, g.targets) }

// isFailing reports whether the group is to be suspected.
func (g *group) isFailing(now time.Time) bool {
	if now.Before(g.trustedUntil) {
		return false
	}
	if g.doubted || g.refused.suffices(now, g.need()) || g.lost.suffices(now, g.need()) {
		return true
	}
	overdue := g.overdue(now)
	for target := range g.lost.targets {
		overdue[target] = struct{}{}
	}
	return len(overdue) >= g.need() && len(overdue) > len(g.lost.targets)
}

// isOverdue reports whether nothing was heard of the group for too long since an attempt began.
func (g *group) isOverdue(now time.Time, a *Attempt) bool {
	from := a.sentAt
	if g.heardAt.After(from) {
		from = g.heardAt
	}
	return now.Sub(from) > a.limit
}

// overdue returns the targets with an attempt that is overdue.
func (g *group) overdue(now time.Time) map[uint64]struct{} {
	late := make(map[uint64]struct{})
	for a := range g.inFlight {
		if g.isOverdue(now, a) {
			late[a.target] = struct{}{}
		}
	}
	return late
}

// isConfirmedBy reports whether probes show that a suspected group is unreached. Busy targets may not
// answer a probe in time; requests that were answered meanwhile then count, unless only connections
// that are already open still work.
func (g *group) isConfirmedBy(p Probes) bool {
	if p.Asked == 0 || p.Answered > 0 {
		return false
	}
	if heard := g.heardAt.After(g.since); heard && (p.Connected > 0 || len(g.refused.targets) == 0) {
		return false
	}
	return true
}

func (g *group) nextRound(targets int) Round {
	g.probing = true
	g.rounds++
	return Round{Group: g.id, Targets: targets, Number: g.rounds}
}

// enter changes the phase and returns the change.
func (g *group) enter(now time.Time, p Phase, probes Probes) Change {
	c := Change{
		Group: g.id, Phase: p, Previous: g.phase, Lasted: now.Sub(g.since),
		Lost: len(g.lost.targets), Overdue: len(g.overdue(now)), Refused: len(g.refused.targets), Probes: probes,
	}
	if !g.heardAt.IsZero() {
		c.HeardAge = now.Sub(g.heardAt)
	}
	if g.phase == Suspected {
		g.trustedUntil = now.Add(suspicionInterval)
	}
	g.phase, g.since, g.doubted = p, now, false
	switch p {
	case Unreached:
		g.trustedUntil = time.Time{}
		g.cancel()
	case Reached:
		if probes.Answered > 0 {
			g.heardAt = now
		}
		g.lost.clear()
		g.refused.clear()
		if g.cut.Err() != nil {
			g.cut, g.cancel = context.WithCancel(context.Background())
		}
	}
	return c
}
