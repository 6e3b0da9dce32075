package quota

import (
	"sync"
	"time"
)

const (
	// shrinkDelay is how long fewer VMs must be seen before the fleet counts as smaller.
	shrinkDelay = 60 * time.Second
	// contactTimeout is how long a VM without contact to the store and to other VMs uses its part.
	// It must be shorter than shrinkDelay by more than the time that a change takes to arrive.
	contactTimeout = 45 * time.Second
	// firstStartDelay is how long a VM waits for the others to register when no size is stored.
	firstStartDelay = 3 * time.Second
	// bucketLength is the resolution of the recent counts.
	bucketLength = 5 * time.Second
)

// Fleet tracks the number of VMs among which the rates are divided. It grows as soon as a VM is
// seen and shrinks after shrinkDelay, since a VM that was cut off still uses its part. The store
// keeps the size for VMs that start. Fleet is safe for concurrent use.
type Fleet struct {
	started time.Time

	mu     sync.Mutex
	stored int
	// lost is set if the store no longer has the stored size.
	lost      bool
	contactAt time.Time
	// recent holds the highest count of each of the last buckets, the newest first.
	recent   []int
	bucketAt time.Time
}

// NewFleet returns a fleet of unknown size.
func NewFleet(now time.Time) *Fleet {
	return &Fleet{started: now, contactAt: now, bucketAt: now, recent: []int{0}}
}

// Observe records how many VMs are known.
func (f *Fleet) Observe(now time.Time, vms int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for now.Sub(f.bucketAt) >= bucketLength && len(f.recent) > 0 {
		f.bucketAt = f.bucketAt.Add(bucketLength)
		f.recent = append([]int{0}, f.recent...)
		if limit := int(shrinkDelay/bucketLength) + 1; len(f.recent) > limit {
			f.recent = f.recent[:limit]
		}
	}
	f.recent[0] = max(f.recent[0], vms)
}

// SetStored sets the size that the store holds, 0 for none. lost is set if the store has lost that size, so
// that it must be written again.
func (f *Fleet) SetStored(vms int, lost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stored, f.lost = vms, lost
}

// Contact records that this VM is in contact with the store or other VMs that are.
func (f *Fleet) Contact(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.contactAt = now
}

// Size returns the number of VMs, or 0 if it is not known.
func (f *Fleet) Size(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.contactAt) >= contactTimeout || f.stored == 0 && now.Sub(f.started) < firstStartDelay {
		return 0
	}
	return max(f.stored, f.highest())
}

// ToStore returns the size to write to the store, and false if that is there already.
func (f *Fleet) ToStore(now time.Time) (vms int, changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	vms = f.highest()
	if now.Sub(f.started) < shrinkDelay {
		// This VM has not seen for long enough that VMs are gone.
		vms = max(vms, f.stored)
	}
	return vms, (f.lost || vms != f.stored) && now.Sub(f.started) >= firstStartDelay
}

func (f *Fleet) highest() int {
	highest := 0
	for _, vms := range f.recent {
		highest = max(highest, vms)
	}
	return highest
}
