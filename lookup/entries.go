package lookup

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/membership"
)

// entryIndex holds the usable entry VMs by region and place.
type entryIndex struct {
	regions map[model.RegionName]*regionEntries
	names   []model.RegionName
}

type regionEntries struct {
	places []placeEntries
}

// placeEntries keeps the seeds apart from the VMs, since a look-up reads every
// seed of a region but only a few VMs.
type placeEntries struct {
	name model.PlaceName
	// seeds[i] is the hash of the ID of vms[i], for rendezvous hashing.
	seeds []uint64
	vms   []EntryVM
}

// newEntryIndex indexes the live entry VMs of a list. It omits the VM with the ID
// exclude: this node, when it is stopping before the list says so.
func newEntryIndex(list membership.List, exclude string) *entryIndex {
	e := &entryIndex{regions: make(map[model.RegionName]*regionEntries)}
	for i := range list.VMs {
		vm := &list.VMs[i]
		if vm.Role != membership.RoleEntry || vm.State != membership.StateLive {
			continue
		}
		if !vm.Address.IsValid() || (exclude != "" && vm.ID == exclude) {
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

func (e *entryIndex) add(vm *membership.VM) {
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
