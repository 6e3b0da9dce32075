package workingset

import "time"

const (
	// SilentAfter is how long the deciding VM may be silent before another one is followed. It decides
	// every StepInterval, so that one lost message is tolerated.
	SilentAfter = 3 * time.Second
	// unguidedAfter is how long a VM keeps the fractions if it receives none.
	unguidedAfter = 5 * time.Second
	// numberSlack is how many decisions a VM may be behind another one and still count as having decided
	// without a pause. A VM that was frozen or has started is further behind.
	numberSlack = 2
	// quietAfter is how long a region in which all keys are admitted is still reported, so that all VMs
	// learn of it.
	quietAfter = 10 * time.Second
)

// Message states the arcs of all services of one region. It is complete: scopes that it does not name
// admit all keys.
type Message struct {
	Region string
	// Decider is the VM that decided, and Number the number of decisions for the region up to this one,
	// those of earlier deciders included. Forwarded messages keep both.
	Decider string
	Number  uint64
	// Start is the start of all arcs when the message was sent.
	Start  float64
	Scopes map[ScopeID]Fractions
}

// Ring is what a VM knows of the arcs of one region.
type Ring struct {
	region  string
	period  time.Duration
	decider string
	number  uint64
	// start is the start of all arcs at startAt.
	start   float64
	startAt time.Time
	scopes  map[ScopeID]Fractions
	// heardAt is when the last decision was received or made, limitedAt when a scope last had a limit.
	heardAt, limitedAt time.Time
	// grownAt is when the fractions last grew without a decision.
	grownAt time.Time
}

// NewRing returns a ring that admits all keys and turns once in period.
func NewRing(region string, period time.Duration, now time.Time) *Ring {
	return &Ring{region: region, period: period, startAt: now, scopes: make(map[ScopeID]Fractions)}
}

// Arc returns the arc of a rank of a scope.
func (r *Ring) Arc(now time.Time, scope ScopeID, rank int) Arc {
	f, limited := r.scopes[scope]
	if !limited {
		return Whole
	}
	return Arc{Start: r.startNow(now), Fraction: f[rank]}
}

// Fractions returns those of a scope.
func (r *Ring) Fractions(scope ScopeID) Fractions {
	if f, limited := r.scopes[scope]; limited {
		return f
	}
	return AllAdmitted()
}

// Limits reports whether a scope does not admit all keys.
func (r *Ring) Limits() bool { return len(r.scopes) > 0 }

// Decider returns the VM that decided last and the number of its decision.
func (r *Ring) Decider() (vm string, number uint64) { return r.decider, r.number }

// IsSilent reports whether decisions are overdue.
func (r *Ring) IsSilent(now time.Time) bool { return now.Sub(r.heardAt) > SilentAfter }

func (r *Ring) startNow(now time.Time) float64 {
	return ahead(0, r.start+now.Sub(r.startAt).Seconds()/r.period.Seconds())
}

// Decide replaces the fractions of all scopes by those that this VM has decided.
func (r *Ring) Decide(now time.Time, vm string, scopes map[ScopeID]Fractions) {
	r.apply(now, vm, r.number+1, r.startNow(now), scopes)
}

// Accept takes over the arcs that another VM has sent, and returns false if they are outdated or
// those of a VM that is not to decide. own is the name of this VM.
func (r *Ring) Accept(now time.Time, own string, m Message) bool {
	if m.Decider == own && m.Number <= r.number || !r.follows(now, m) {
		return false
	}
	r.apply(now, m.Decider, m.Number, m.Start, m.Scopes)
	return true
}

// follows reports whether a message replaces the present arcs. Of two VMs that decide at the same time,
// as in a partition, the one with the lower name is followed. One that has missed decisions of others is
// not, and follows them itself.
func (r *Ring) follows(now time.Time, m Message) bool {
	switch {
	case r.decider == "" || m.Number > r.number+numberSlack:
		return true
	case m.Decider == r.decider:
		// A lower number after a silence is that of a decider that has started anew. The same number would be
		// an old copy, which must not undo the growth by Tick.
		return m.Number > r.number || m.Number < r.number && now.Sub(r.heardAt) > unguidedAfter
	case m.Number < r.number:
		return now.Sub(r.heardAt) > unguidedAfter
	case m.Number == r.number || m.Decider < r.decider:
		return m.Decider < r.decider
	}
	return r.IsSilent(now)
}

func (r *Ring) apply(now time.Time, decider string, number uint64, start float64, scopes map[ScopeID]Fractions) {
	r.decider, r.number = decider, number
	r.start, r.startAt = ahead(0, start), now
	r.heardAt, r.grownAt = now, now
	r.scopes = make(map[ScopeID]Fractions, len(scopes))
	for scope, f := range scopes {
		if f.Limits() {
			r.scopes[scope] = f
			r.limitedAt = now
		}
	}
}

// Message returns the message to send, and false if there is nothing to tell.
func (r *Ring) Message(now time.Time) (Message, bool) {
	if r.decider == "" || r.limitedAt.IsZero() || now.Sub(r.limitedAt) > quietAfter {
		return Message{}, false
	}
	return Message{Region: r.region, Decider: r.decider, Number: r.number, Start: r.startNow(now), Scopes: r.scopes}, true
}

// Tick lets the fractions grow as a controller does if no VM decides. It must be called every StepInterval
// at least.
func (r *Ring) Tick(now time.Time) {
	if !r.Limits() || now.Sub(r.heardAt) < unguidedAfter || now.Sub(r.grownAt) < StepInterval {
		return
	}
	r.grownAt = now
	for scope, f := range r.scopes {
		for rank := range f {
			f[rank] = stepFraction(f[rank], 0, 0)
		}
		if f.Limits() {
			r.scopes[scope] = f
		} else {
			delete(r.scopes, scope)
		}
	}
}
