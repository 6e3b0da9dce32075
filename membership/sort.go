package membership

import (
	"slices"
	"strings"
)

// Normalize sorts the VMs by ID and removes duplicates. Of two rows with
// different states the leaving one is kept, since traffic must not go to a VM
// that is about to terminate.
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
