package lookup

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/membership"
)

// entries is the entry VMs in use, grouped by region and then by place.
type entries struct {
	regions map[model.RegionName]*regionEntries
	names   []model.RegionName
}

type regionEntries struct {
	places []placeEntries
}

// placeEntries holds the seeds apart from the VMs: a look-up reads every seed
// of a region but only a few VMs.
type placeEntries struct {
	name model.PlaceName
	// seeds[i] is the rendezvous seed of vms[i], a hash of its identifier.
	seeds []uint64
	vms   []EntryVM
}

// newEntries groups the live entry VMs of a list. A VM that is leaving is
// left out, as is the VM named by without (this node, when it stops before
// the list shows it).
func newEntries(list membership.List, without string) *entries {
	e := &entries{regions: make(map[model.RegionName]*regionEntries)}
	for i := range list.VMs {
		vm := &list.VMs[i]
		if vm.Role != membership.RoleEntry || vm.State != membership.StateLive {
			continue
		}
		if !vm.Address.IsValid() || (without != "" && vm.ID == without) {
			continue
		}
		e.add(vm)
	}
	slices.Sort(e.names)
	for _, region := range e.regions {
		slices.SortFunc(region.places, func(a, b placeEntries) int { return cmp.Compare(a.name, b.name) })
	}
	return e
}

func (e *entries) add(vm *membership.VM) {
	region := e.regions[vm.Region]
	if region == nil {
		region = new(regionEntries)
		e.regions[vm.Region] = region
		e.names = append(e.names, vm.Region)
	}
	place := region.place(vm.Place)
	place.seeds = append(place.seeds, xxhash.Sum64String(vm.ID))
	place.vms = append(place.vms, EntryVM{ID: vm.ID, Address: vm.Address.String(), Place: vm.Place, Region: vm.Region})
}

func (r *regionEntries) place(name model.PlaceName) *placeEntries {
	for i := range r.places {
		if r.places[i].name == name {
			return &r.places[i]
		}
	}
	r.places = append(r.places, placeEntries{name: name})
	return &r.places[len(r.places)-1]
}
