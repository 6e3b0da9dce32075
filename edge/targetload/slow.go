package targetload

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minToldLeft is the fraction of a deviation that must be left when other VMs learn of it.
	minToldLeft = 0.3
	// deliveryTime is the usual time until another VM has a report.
	deliveryTime = 100 * time.Millisecond
	// minToldDeviation is the deviation from the mean pace above which a target is slow.
	minToldDeviation = 0.3
	// MaxSlow bounds the targets in a report: at 5 bytes each and 6.7 digests a second, they cost a VM of
	// a large region 1.1 KB/s at most.
	MaxSlow = 32
)

// Slow is a target that is slow at this moment.
type Slow struct {
	// Key is the target's placing.TargetKey.
	Key uint32
	// Pace is relative to the usual one, 1. Age is the time since the target has stated it.
	Pace float64
	Age  time.Duration
}

// IsWorthTelling reports whether other VMs should know of a pace that was stated some time ago.
func (p *Persistence) IsWorthTelling(pace float64, age time.Duration) bool {
	return p.deviation(pace) >= minToldDeviation && p.Left(age+deliveryTime) > minToldLeft
}

// Newest orders targets by their age and returns at most MaxSlow of them. It modifies the list.
func Newest(list []Slow) []Slow {
	slices.SortFunc(list, func(a, b Slow) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Key, b.Key)) })
	return list[:min(len(list), MaxSlow)]
}
