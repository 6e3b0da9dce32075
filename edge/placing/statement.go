package placing

import (
	"math"
	"strconv"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/site"
)

const (
	// maxStatements bounds the incarnations whose statements are kept. They outlive the
	// registrations, which may lapse while their targets live.
	maxStatements = 4096
	// maxRest bounds a rest, so that one that is stated by mistake ends.
	maxRest = time.Hour
)

// statement is what a target has stated about itself since its start.
type statement struct {
	leaving bool
	// restUntil is when the last rest ends that the target has asked this VM for.
	restUntil time.Time
}

// isLeaving is false for nil.
func (s *statement) isLeaving() bool { return s != nil && s.leaving }

// isResting is false for nil.
func (s *statement) isResting(now time.Time) bool { return s.restLeft(now) > 0 }

// restLeft returns how long the target still rests. It is less than 0 after the rest, and far less if
// there was none.
func (s *statement) restLeft(now time.Time) time.Duration {
	if s == nil {
		return math.MinInt64
	}
	return s.restUntil.Sub(now)
}

// statements holds the statements of targets by incarnation.
type statements struct {
	byIncarnation map[uint64]*statement
	// order lists the incarnations in the order of their first statement.
	order []uint64
}

// of returns the statement of an incarnation, a new one for the first. The oldest ones are dropped.
func (s *statements) of(incarnation uint64) *statement {
	known := s.byIncarnation[incarnation]
	if known != nil {
		return known
	}
	if len(s.order) >= maxStatements {
		delete(s.byIncarnation, s.order[0])
		s.order = s.order[1:]
	}
	made := &statement{}
	s.byIncarnation[incarnation] = made
	s.order = append(s.order, incarnation)
	return made
}

// incarnationOf identifies one start of a target, identically on all VMs.
func incarnationOf(t *site.Target) uint64 {
	return HashOf(t.ID + " " + strconv.FormatInt(t.StartedMillis, 36))
}

// TargetLeaves records that a target has stated that it leaves: it gets no more requests. It returns
// false if that is known.
func (b *Balancer) TargetLeaves(now time.Time, incarnation uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.statements.of(incarnation)
	if s.leaving {
		return false
	}
	s.leaving = true
	if t := b.targetOf(incarnation); t != nil {
		t.stated = s
		t.usable, t.leaving = false, true
		b.serveAll(now)
	}
	return true
}

// targetOf returns the registered target of an incarnation, nil if there is none.
func (b *Balancer) targetOf(incarnation uint64) *Target {
	for _, s := range b.services {
		for _, t := range s.targets {
			if t.Incarnation == incarnation {
				return t
			}
		}
	}
	return nil
}

// HasStatedToLeave reports whether a target has stated that it leaves.
func (b *Balancer) HasStatedToLeave(t *Target) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return t.stated.isLeaving()
}

// TargetRests records that a target has refused a request and asked this VM for a rest: it gets no
// requests of this VM meanwhile. It returns false if a rest that it has asked for before lasts as long.
func (b *Balancer) TargetRests(now time.Time, incarnation uint64, rest time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.statements.of(incarnation)
	until := now.Add(min(rest, maxRest))
	if !until.After(s.restUntil) {
		return false
	}
	s.restUntil = until
	if t := b.targetOf(incarnation); t != nil {
		t.stated = s
		for _, other := range b.services[t.Service].targets {
			other.cautiousUntil = now.Add(cautionAfterRest)
		}
		b.serveAll(now)
	}
	return true
}

// Statements returns how many registered targets have stated that they leave, and how many are at
// rest.
func (b *Balancer) Statements(now time.Time) (leaving, resting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.services {
		for _, t := range s.targets {
			if t.stated.isLeaving() {
				leaving++
			}
			if t.stated.isResting(now) {
				resting++
			}
		}
	}
	return leaving, resting
}

// firstRested returns the region whose first target has rested, of those that a request may use, or "" if
// none rests.
func (b *Balancer) firstRested(now time.Time, s *service, r *Request) string {
	best, first := "", time.Duration(math.MaxInt64)
	for region := range s.regions {
		if !r.allows(region) {
			continue
		}
		p, _ := b.permitsOf(now, s, region, r)
		if wait := p.first + b.options.RTT(region); p.resting && (wait < first || wait == first && region < best) {
			best, first = region, wait
		}
	}
	return best
}

// slotInterval returns the time between two requests of this VM that a target has slots for, if the VMs
// of the region share them equally.
func (b *Balancer) slotInterval(s *service, t *Target, r *Request) time.Duration {
	occupancy := s.averagesFor(r).occupancy
	return time.Duration(float64(occupancy) / float64(t.Slots) * float64(max(1, len(b.vmHashes))))
}
