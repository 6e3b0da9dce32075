package reach

import (
	"testing"
	"time"
)

var (
	start = time.Unix(1000, 0)
	near  = Group{Service: "s", Region: "n"}
	far   = Group{Service: "s", Region: "f"}
)

// path is a tracker in virtual time with the path to its targets.
type path struct {
	*Tracker
	now time.Time
	// probe returns the result of a round of probes.
	probe func(r Round) Probes
	// rounds and changes are those so far.
	rounds  []Round
	changes []Change
}

func newPath(targets map[Group]int) *path {
	p := &path{Tracker: New(), now: start, probe: func(r Round) Probes { return Probes{Asked: r.Targets} }}
	p.SetGroups(p.now, targets)
	return p
}

// run lets time pass in ticks of 100 ms.
func (p *path) run(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); {
		p.now = p.now.Add(100 * time.Millisecond)
		changes, rounds := p.Tick(p.now)
		p.changes = append(p.changes, changes...)
		for _, r := range rounds {
			p.rounds = append(p.rounds, r)
			p.changes = append(p.changes, p.Probed(p.now, r.Group, p.probe(r))...)
		}
	}
}

func (p *path) phase(id Group) Phase {
	for _, s := range p.Statuses(p.now) {
		if s.Group == id {
			return s.Phase
		}
	}
	return Reached
}

func (p *path) send(id Group, target uint64) *Attempt {
	return p.Begin(p.now, id, target, 20*time.Millisecond)
}

func (p *path) lose(id Group, target uint64, fresh bool) {
	p.End(p.now, p.send(id, target), Lost, fresh)
}

func allAnswer(r Round) Probes {
	return Probes{Asked: r.Targets, Connected: r.Targets, Answered: r.Targets}
}
func allSilent(r Round) Probes {
	return Probes{Asked: r.Targets, Connected: r.Targets, Silent: r.Targets}
}

// Guards against a VM that goes on sending requests to targets that it does not reach.
func TestEvidenceOfACut(t *testing.T) {
	for name, fail := range map[string]func(p *path){
		"connections refused":         func(p *path) { p.NotConnected(p.now, near, 1); p.NotConnected(p.now, near, 2) },
		"connections lost":            func(p *path) { p.lose(near, 1, false); p.lose(near, 2, false) },
		"no answers":                  func(p *path) { p.send(near, 1); p.send(near, 2) },
		"no answers of one target":    func(p *path) { p.send(near, 1); p.send(near, 1) },
		"only old connections answer": func(p *path) { p.lose(near, 1, true); p.lose(near, 2, true) },
	} {
		t.Run(name, func(t *testing.T) {
			p := newPath(map[Group]int{near: 5})
			p.End(p.now, p.send(near, 3), Answered, true)
			fail(p)
			if name == "only old connections answer" {
				p.End(p.now, p.send(near, 3), Answered, false)
			}
			p.run(time.Second)
			if got := p.phase(near); got != Unreached {
				t.Errorf("%s after a second", got)
			}
			if ids, all := p.Unreached(); len(ids) != 1 || ids[0] != near.ID() || !all {
				t.Errorf("unreached %v, all %v", ids, all)
			}
		})
	}
}

// Guards against a VM that abandons targets because one of them failed, some answers were late or its
// requests take long.
func TestNoCutWithoutEvidence(t *testing.T) {
	for name, fail := range map[string]func(p *path){
		"one target crashed": func(p *path) {
			for range 20 {
				p.lose(near, 1, true)
				p.NotConnected(p.now, near, 1)
			}
		},
		"others answer": func(p *path) {
			var late []*Attempt
			for range 20 {
				late = append(late, p.send(near, 1), p.send(near, 2))
				p.lose(near, 4, false)
				p.End(p.now, p.send(near, 3), Answered, true)
				p.run(300 * time.Millisecond)
			}
			for _, a := range late {
				p.End(p.now, a, Abandoned, false)
			}
		},
		"long requests": func(p *path) {
			p.Begin(p.now, near, 1, 2*time.Second)
			p.Begin(p.now, near, 2, 2*time.Second)
		},
		"connections of a VM that resumes": func(p *path) {
			p.lose(near, 1, false)
			p.lose(near, 2, false)
			p.End(p.now, p.send(near, 3), Answered, true)
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPath(map[Group]int{near: 5})
			fail(p)
			p.run(3 * time.Second)
			if len(p.rounds) > 0 {
				t.Errorf("probed: %+v, changes %+v", p.rounds, p.changes)
			}
		})
	}
}

// Guards against a service that is refused everywhere because its targets are too busy for probes.
func TestBusyTargetsAreReached(t *testing.T) {
	p := newPath(map[Group]int{near: 5})
	p.probe = func(r Round) Probes {
		p.now = p.now.Add(1200 * time.Millisecond)
		p.End(p.now, p.send(near, 3), Answered, false)
		return allSilent(r)
	}
	p.send(near, 1)
	p.send(near, 2)
	p.run(time.Second)
	if p.phase(near) != Reached || len(p.rounds) == 0 {
		t.Errorf("phase %s, %d rounds", p.phase(near), len(p.rounds))
	}
}

// Silent targets may be busy, so that they are probed twice, the second time for longer.
func TestSilentTargetsAreProbedTwice(t *testing.T) {
	p := newPath(map[Group]int{near: 5})
	p.probe = allSilent
	p.send(near, 1)
	p.send(near, 2)
	p.run(600 * time.Millisecond)
	if len(p.rounds) < 2 || p.rounds[0].Patient || !p.rounds[1].Patient || p.phase(near) != Unreached {
		t.Errorf("rounds %+v, phase %s", p.rounds, p.phase(near))
	}
}

// Guards against groups with few or long requests whose cut shows late.
func TestGroupsWithoutRequestsAreProbedToo(t *testing.T) {
	other := Group{Service: "other", Region: "n"}
	p := newPath(map[Group]int{near: 5, far: 5, other: 1})
	p.lose(near, 1, false)
	p.lose(near, 2, false)
	p.run(time.Second)
	if ids, all := p.Unreached(); len(ids) != 3 || !all {
		t.Errorf("unreached %v", ids)
	}
}

// A target that ended is the only one of its group: a single failure shows nothing until a probe fails too.
func TestGroupOfOneTarget(t *testing.T) {
	p := newPath(map[Group]int{near: 1})
	p.lose(near, 1, false)
	p.probe = allAnswer
	p.run(time.Second)
	if p.phase(near) != Reached || len(p.rounds) != 1 {
		t.Errorf("phase %s after %d rounds", p.phase(near), len(p.rounds))
	}
	p.probe = func(r Round) Probes { return Probes{Asked: 1} }
	p.lose(near, 1, false)
	p.run(2 * time.Second)
	if p.phase(near) != Unreached {
		t.Errorf("phase %s", p.phase(near))
	}
}

// Guards against a burst of requests on new connections, and of probes, when a VM reaches targets again.
func TestReturnIsGradual(t *testing.T) {
	p := newPath(map[Group]int{near: 5, far: 5})
	p.lose(near, 1, false)
	p.lose(near, 2, false)
	p.run(10 * time.Second)
	if n := len(p.rounds); n > 2*22 {
		t.Errorf("%d rounds of probes in 10 s", n)
	}
	if !p.RelaysFirst(p.now, "s", nil, 0) {
		t.Error("not relayed while nothing is reached")
	}
	p.probe = allAnswer
	p.run(600 * time.Millisecond)
	if p.phase(near) != Reached || p.phase(far) != Reached {
		t.Fatalf("phases %s and %s", p.phase(near), p.phase(far))
	}
	last := 0.8
	for range 20 {
		relayed := 0
		for key := range uint64(1000) {
			if p.RelaysFirst(p.now, "s", nil, key<<54) {
				relayed++
			}
		}
		part := float64(relayed) / 1000
		if part > last || last-part > 0.1 {
			t.Errorf("part of the keys that are relayed: %.2f after %.2f", part, last)
		}
		last = part
		p.run(100 * time.Millisecond)
	}
	if last != 0 || p.IsRelaying() {
		t.Errorf("%.2f of the keys are still relayed", last)
	}
}

// Guards against a VM that stays with targets which it loses again while it returns to them.
func TestCutThatFlaps(t *testing.T) {
	p := newPath(map[Group]int{near: 5})
	for range 5 {
		p.probe = func(r Round) Probes { return Probes{Asked: r.Targets} }
		p.lose(near, 1, true)
		p.lose(near, 2, true)
		p.run(500 * time.Millisecond)
		if p.phase(near) != Unreached {
			t.Fatalf("%s half a second after the cut", p.phase(near))
		}
		p.probe = allAnswer
		p.run(600 * time.Millisecond)
		if p.phase(near) != Reached {
			t.Fatalf("%s after the end of the cut", p.phase(near))
		}
	}
}

// A request that may run in one region only is not served because another region is reached.
func TestAllowedRegionsDecide(t *testing.T) {
	p := newPath(map[Group]int{near: 5, far: 5})
	p.End(p.now, p.send(far, 7), Answered, true)
	p.lose(near, 1, false)
	p.lose(near, 2, false)
	p.run(200 * time.Millisecond)
	p.End(p.now, p.send(far, 7), Answered, true)
	onlyNear := func(region string) bool { return region == "n" }
	if p.Reaches("s", onlyNear) || !p.RelaysFirst(p.now, "s", onlyNear, 0) {
		t.Error("the only allowed region is taken for reached")
	}
	if !p.Reaches("s", nil) || p.RelaysFirst(p.now, "s", nil, 0) {
		t.Error("the other region is not reached")
	}
}

// Guards against a VM that stays away from a group for ever, as one of its targets has ended: with few targets it
// is in each round of probes.
func TestGroupReturnsBesideATargetThatHasEnded(t *testing.T) {
	for name, c := range map[string]struct {
		targets int
		want    Phase
	}{
		"one of two": {2, Reached},
		"one of ten": {10, Unreached},
		"none":       {0, Unreached},
	} {
		t.Run(name, func(t *testing.T) {
			n := max(2, c.targets)
			p := newPath(map[Group]int{near: n})
			p.lose(near, 1, true)
			p.lose(near, 2, true)
			p.run(500 * time.Millisecond)
			// Only the first target answers; a round probes those after that of the round before.
			p.probe = func(r Round) (sum Probes) {
				sum.Asked = min(r.Targets, n)
				for i := range sum.Asked {
					if c.targets > 1 && (i+r.Number*r.Targets)%n == 0 {
						sum.Connected++
						sum.Answered++
					}
				}
				return sum
			}
			p.run(5 * time.Second)
			if got := p.phase(near); got != c.want {
				t.Errorf("%s 5 s after the end of the cut", got)
			}
		})
	}
}

// Guards against a VM that is listed for callers although it reaches no target, as it counts a group that has no
// targets any more among those that it reaches.
func TestGroupWithoutTargetsIsNotReached(t *testing.T) {
	p := newPath(map[Group]int{near: 5, far: 5})
	for _, id := range []Group{near, far} {
		p.lose(id, 1, true)
		p.lose(id, 2, true)
	}
	p.run(500 * time.Millisecond)
	if ids, all := p.Unreached(); len(ids) != 2 || !all {
		t.Fatalf("unreached %v, all %v", ids, all)
	}
	p.SetGroups(p.now, map[Group]int{near: 5})
	p.probe = func(r Round) Probes {
		if r.Group == far {
			return Probes{}
		}
		return Probes{Asked: r.Targets}
	}
	p.run(time.Second)
	if ids, all := p.Unreached(); len(ids) != 1 || ids[0] != near.ID() || !all {
		t.Errorf("unreached %v, all %v", ids, all)
	}
	if p.Reaches("s", nil) {
		t.Error("the service is taken for reached")
	}
	if last := p.changes[len(p.changes)-1]; last.Group != far || last.Phase != Reached {
		t.Errorf("the end of the group is not told: %+v", last)
	}
}
