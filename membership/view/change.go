package view

import "github.com/yuccaroute/yuccaroute/membership"

// Change is the difference between the lists of two snapshots.
type Change struct {
	Added   []membership.VM
	Removed []membership.VM
	// Updated are VMs in both lists whose row differs, as they are now.
	Updated []membership.VM
	// Replaced are addresses that now belong to another VM. Both VMs are in
	// Removed and Added too, if the lists show them so.
	Replaced []Replacement
}

// Replacement is a VM that took over the address of another. What was learnt
// of the old one, its connections included, is not true of the new one.
type Replacement struct {
	Old membership.VM
	New membership.VM
}

// Diff compares two lists sorted by ID.
func Diff(before, after []membership.VM) Change {
	var change Change
	old := byID(before)
	for _, vm := range after {
		was, known := old[vm.ID]
		switch {
		case !known:
			change.Added = append(change.Added, vm)
		case was != vm:
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
