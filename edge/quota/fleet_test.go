package quota

import (
	"testing"
	"time"
)

// The fleet must not shrink while VMs that were cut off may still use their part of the rates.
func TestFleetShrinksLate(t *testing.T) {
	now := time.Unix(1000, 0)
	f := NewFleet(now)
	observe := func(vms int, length time.Duration) {
		for end := now.Add(length); now.Before(end); now = now.Add(time.Second) {
			f.Contact(now)
			f.Observe(now, vms)
		}
	}
	if f.Size(now) != 0 {
		t.Error("the size is known at the start")
	}
	observe(84, 5*time.Second)
	if f.Size(now) != 84 {
		t.Errorf("size %d of 84", f.Size(now))
	}
	if vms, changed := f.ToStore(now); vms != 84 || !changed {
		t.Errorf("%d to store, %v", vms, changed)
	}
	f.SetStored(84, false)
	observe(90, time.Second)
	if f.Size(now) != 90 {
		t.Errorf("size %d of 90", f.Size(now))
	}
	observe(56, shrinkDelay-10*time.Second)
	if f.Size(now) != 90 {
		t.Errorf("size %d before the delay has passed", f.Size(now))
	}
	observe(56, 20*time.Second)
	if vms, changed := f.ToStore(now); vms != 56 || !changed || f.Size(now) != 84 {
		t.Errorf("%d to store, %v, size %d", vms, changed, f.Size(now))
	}
	f.SetStored(56, false)
	if f.Size(now) != 56 {
		t.Errorf("size %d of 56", f.Size(now))
	}
}

// A VM that starts takes the size from the store at once, and one without contact gives its part up
// before the others take it.
func TestFleetAtStartAndWithoutContact(t *testing.T) {
	now := time.Unix(1000, 0)
	f := NewFleet(now)
	f.SetStored(84, false)
	f.Observe(now, 2)
	if f.Size(now) != 84 {
		t.Errorf("size %d, 84 are stored", f.Size(now))
	}
	if _, changed := f.ToStore(now.Add(10 * time.Second)); changed {
		t.Error("a VM that has just started lowers the size")
	}
	if f.Size(now.Add(contactTimeout)) != 0 || contactTimeout >= shrinkDelay {
		t.Error("a VM without contact keeps its part")
	}
}

// Guards against VMs that take too much of a rate: a restored store lacks the size, which stays in force
// and is written again.
func TestFleetSizeLostByTheStoreIsWrittenAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	f := NewFleet(now)
	f.SetStored(84, false)
	f.SetStored(84, true)
	f.Observe(now, 84)
	if f.Size(now) != 84 {
		t.Errorf("size %d after the loss, want 84", f.Size(now))
	}
	if vms, changed := f.ToStore(now.Add(firstStartDelay)); vms != 84 || !changed {
		t.Errorf("%d to store, %v, want 84 written again", vms, changed)
	}
}
