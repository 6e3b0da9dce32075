package membership

import (
	"slices"
	"strings"
)

// Normalize sorts the VMs by ID and keeps one row of each. When a VM is listed
// twice with different states the leaving one wins: taking a live VM for a
// leaving one costs a target for one reading, the reverse sends work to a VM
// that is about to end.
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
