package reach

import "time"

// group is the state of a Group. The tracker's lock guards it.
type group struct {
	id Group
	// targets is how many targets the group has.
	targets int
	phase   Phase
	since   time.Time
	// heardAt is when a target last answered; zero if none did.
	heardAt time.Time
	// lost holds the targets that have failed since the last answer, refused those to which no new
	// connection could be opened, or used, since one last was.
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
	// silent is set if probed targets were silent in the last round, answered if a target of an unreached
	// group answered in it.
	silent, answered bool
}

func newGroup(id Group, now time.Time) *group {
	return &group{id: id, since: now, inFlight: make(map[*Attempt]struct{})}
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
	if g == nil {
		return
	}
	g.heardAt, g.probeAt = now, now
	g.lost.clear()
}

// need is how many targets must fail, or requests be overdue.
func (g *group) need() int { return min(minTargets, g.targets) }

// isFailing reports whether the group is to be suspected.
func (g *group) isFailing(now time.Time) bool {
	if g.targets == 0 || now.Before(g.trustedUntil) {
		return false
	}
	if g.doubted || g.refused.suffices(now, g.need()) || g.lost.suffices(now, g.need()) {
		return true
	}
	overdue := g.overdue(now)
	return overdue > 0 && overdue+len(g.lost.targets) >= g.need()
}

// isOverdue reports whether nothing was heard of the group for too long since an attempt began.
func (g *group) isOverdue(now time.Time, a *Attempt) bool {
	from := a.sentAt
	if g.heardAt.After(from) {
		from = g.heardAt
	}
	return now.Sub(from) > a.limit
}

// overdue returns how many attempts are overdue.
func (g *group) overdue(now time.Time) (n int) {
	for a := range g.inFlight {
		if g.isOverdue(now, a) {
			n++
		}
	}
	return n
}

// isRefutedBy reports whether probes show that a suspected group is reached. Busy targets may not answer
// a probe in time; requests that were answered meanwhile then count, unless only connections that are
// already open still work.
func (g *group) isRefutedBy(p Probes) bool {
	if p.Asked == 0 || p.Answered > 0 {
		return true
	}
	return g.heardAt.After(g.since) && (p.Silent > 0 || len(g.refused.targets) == 0)
}

func (g *group) nextRound(targets int) Round {
	g.probing = true
	g.rounds++
	return Round{Group: g.id, Targets: targets, Number: g.rounds, Patient: g.silent}
}

// enter changes the phase and returns the change.
func (g *group) enter(now time.Time, p Phase, probes Probes) Change {
	c := Change{
		Group: g.id, Phase: p, Previous: g.phase, Lasted: now.Sub(g.since),
		Lost: len(g.lost.targets), Overdue: g.overdue(now), Refused: len(g.refused.targets), Probes: probes,
	}
	if !g.heardAt.IsZero() {
		c.HeardAge = now.Sub(g.heardAt)
	}
	if g.phase == Suspected {
		g.trustedUntil = now.Add(suspicionInterval)
	}
	g.phase, g.since, g.doubted, g.silent, g.answered = p, now, false, false, false
	switch p {
	case Unreached:
		g.trustedUntil = time.Time{}
	case Reached:
		if probes.Answered > 0 {
			g.heardAt = now
		}
		g.lost.clear()
		g.refused.clear()
	}
	return c
}
