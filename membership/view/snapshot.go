package view

import (
	"time"

	"github.com/yuccaroute/yuccaroute/membership"
)

// Snapshot is what is known of the VMs after one reading. It never changes.
type Snapshot struct {
	// List is what may be used: no VM twice, no address twice, no VM that
	// only just returned.
	List membership.List
	// Version grows by one with each change of List or Absent.
	Version uint64
	// ReadAt is when the last good answer of the platform came.
	ReadAt time.Time
	// Absent are the VMs that were listed once and are not now, by ID.
	Absent []AbsentVM
}

// AbsentVM is a VM that the platform listed and lists no longer.
type AbsentVM struct {
	VM membership.VM
	// Since is when the first answer without the VM came, Confirmed when the
	// last one did.
	Since     time.Time
	Confirmed time.Time
}

// Duration is for how long answers have shown the VM as gone. It stands still
// while the platform does not answer: the VM may have returned unseen.
func (g AbsentVM) Duration() time.Duration {
	return g.Confirmed.Sub(g.Since)
}

// Age is the time since the reading, by the clock that advanced further: the
// monotonic clock may stand still while a VM is suspended, and its list would
// look as young as before.
func (s *Snapshot) Age(now time.Time) time.Duration {
	return max(now.Sub(s.ReadAt), now.Round(0).Sub(s.ReadAt.Round(0)))
}
