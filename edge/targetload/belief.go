package targetload

import "time"

const (
	// maxSlotsRatio bounds how far the stated number of slots may be from the registered one. A
	// statement beyond it is taken for an error of the target.
	maxSlotsRatio = 4
	// MaxHold is how long stated counts hold if no reports of other VMs replace them. Reports between
	// VMs are 100 to 480 ms old.
	MaxHold = 400 * time.Millisecond
)

// Stated is the load that a target states in one answer.
type Stated struct {
	// Running and Waiting count requests, Slots is how many may run at once.
	Running, Waiting, Slots int
	// Pace is how long work takes relative to the usual time, 1.
	Pace float64
}

// Belief is what a VM knows of one incarnation of a target. The zero value knows nothing.
type Belief struct {
	// countsAt is when the last statement of counts was made; zero for none.
	countsAt time.Time
	// fewest and most bound the requests of other VMs at countsAt; held is set while they are newer
	// than the reports of other VMs.
	fewest, most int
	held         bool
	// slots is the stated number of slots, registered the registered one at that time.
	slots, registered int
	// pace is the last one that is known, stated at paceAt; zero for none.
	pace   float64
	paceAt time.Time
}

// Observe records a statement made at a time. own is the number of this VM's requests at the target
// without the one that was answered, which the target may or may not count as running: the requests
// of other VMs are therefore known to within one. A total below own tells nothing of the others: own
// requests are still on their way, or the target counts wrongly. Their reports then count. It returns
// false if a newer statement is known.
func (b *Belief) Observe(at time.Time, s Stated, own, registered int) bool {
	if !b.countsAt.IsZero() && at.Before(b.countsAt) {
		return false
	}
	total := s.Running + s.Waiting
	b.countsAt, b.held = at, total >= own
	b.fewest, b.most = max(0, total-1-own), max(0, total-own)
	b.slots, b.registered = s.Slots, registered
	b.ObservePace(at, s.Pace)
	return true
}

// ObservePace records a pace that was stated at a time, to this VM or to another one. It returns false
// if a newer one is known.
func (b *Belief) ObservePace(at time.Time, pace float64) bool {
	if !b.paceAt.IsZero() && !at.After(b.paceAt) {
		return false
	}
	b.pace, b.paceAt = pace, at
	return true
}

// Others returns the number of requests of other VMs at the target, of which their reports count
// reported.
func (b *Belief) Others(reported int) int {
	if b == nil || !b.held {
		return reported
	}
	return min(max(reported, b.fewest), b.most)
}

// Release ends the validity of the stated counts if they are older than MaxHold, or than the reports of
// other VMs, which were made at reportedAt (zero for none). It returns false if the counts still hold.
func (b *Belief) Release(now, reportedAt time.Time) bool {
	if now.Sub(b.countsAt) < MaxHold && !reportedAt.After(b.countsAt) {
		return false
	}
	b.held = false
	return true
}

// Slots returns the number of slots: the stated one until the registered one changes.
func (b *Belief) Slots(registered int) int {
	if b == nil || b.slots <= 0 || registered != b.registered ||
		b.slots > maxSlotsRatio*registered || registered > maxSlotsRatio*b.slots {
		return registered
	}
	return b.slots
}

// Pace returns the last known pace and when it was stated; ok is false if none is known.
func (b *Belief) Pace() (pace float64, at time.Time, ok bool) {
	if b == nil || b.paceAt.IsZero() {
		return 0, time.Time{}, false
	}
	return b.pace, b.paceAt, true
}

// StatedSince reports whether the target has stated its load to this VM after a time.
func (b *Belief) StatedSince(at time.Time) bool { return b != nil && b.countsAt.After(at) }
