package membership

import (
	"slices"
	"strings"
)

// Normalize sorts the VMs by ID and keeps one row of each. When the rows of
// one VM differ, a leaving one wins: a VM never goes back from leaving to
// live, so the other row is the older one.
func Normalize(vms []VM) []VM {
	sorted := slices.Clone(vms)
	slices.SortStableFunc(sorted, func(a, b VM) int {
		if order := strings.Compare(a.ID, b.ID); order != 0 {
			return order
		}
		return int(b.State) - int(a.State)
	})
	return slices.CompactFunc(sorted, func(a, b VM) bool { return a.ID == b.ID })
}
