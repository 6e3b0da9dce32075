package view

import "github.com/yuccaroute/yuccaroute/membership"

// Change is the difference between two lists.
type Change struct {
	Added   []membership.VM
	Removed []membership.VM
	// Updated holds the new rows of VMs that are in both lists.
	Updated []membership.VM
	// Replaced holds the addresses that now belong to another VM. The VMs may
	// also be in Removed and Added.
	Replaced []Replacement
}

// Replacement is a VM that has the former address of another. State and
// connections of the old VM must not be reused for the new one.
type Replacement struct {
	Old membership.VM
	New membership.VM
}

// Diff compares two lists sorted by ID.
func Diff(before, after []membership.VM) Change {
	var change Change
	old := byID(before)
	for _, vm := range after {
		previous, known := old[vm.ID]
		switch {
		case !known:
			change.Added = append(change.Added, vm)
		case previous != vm:
			change.Updated = append(change.Updated, vm)
		}
	}
	current := byID(after)
	for _, vm := range before {
		if _, stays := current[vm.ID]; !stays {
			change.Removed = append(change.Removed, vm)
		}
	}
	change.Replaced = replacements(before, after)
	return change
}

func replacements(before, after []membership.VM) []Replacement {
	owners := map[endpoint]membership.VM{}
	for _, vm := range before {
		owners[endpointOf(vm)] = vm
	}
	var replaced []Replacement
	for _, vm := range after {
		owner, known := owners[endpointOf(vm)]
		if known && owner.ID != vm.ID {
			replaced = append(replaced, Replacement{Old: owner, New: vm})
		}
	}
	return replaced
}

func byID(vms []membership.VM) map[string]membership.VM {
	index := make(map[string]membership.VM, len(vms))
	for _, vm := range vms {
		index[vm.ID] = vm
	}
	return index
}
