// Package whatif computes what a change of demand or capacity would do to the load of regions. It
// applies the region plan to the demand and capacity that a VM reports, before and after the change. It
// does no I/O.
package whatif

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/edge/regionplan"
)

// minSlots is the demand in slots below which it counts as none: measured demand never reaches 0.
const minSlots = 0.01

// maxAddedSlots bounds the slots of one change: the sum of a few such numbers as 1e308 is infinite, and utilization
// then no number.
const maxAddedSlots = 1e6

// State is the demand and capacity of services in regions.
type State struct {
	// Regions are sorted; Capacity and sources refer to them by index.
	Regions  []string
	Services []Service
}

// Service is the demand and capacity of one service in slots.
type Service struct {
	Name     string
	Capacity []float64
	Demand   map[regionplan.Source]float64
}

// New returns a state without services.
func New(regions []string) (*State, error) {
	sorted := slices.Sorted(slices.Values(regions))
	if len(sorted) > regionplan.MaxRegions {
		return nil, errors.Errorf("%d regions; at most %d can be planned", len(sorted), regionplan.MaxRegions)
	}
	return &State{Regions: slices.Compact(sorted)}, nil
}

// Region returns the index of a region.
func (s *State) Region(name string) (int, error) {
	i, found := slices.BinarySearch(s.Regions, name)
	if !found {
		return 0, errors.Errorf("unknown region %q; there are: %s", name, strings.Join(s.Regions, ", "))
	}
	return i, nil
}

// Set returns the set of some regions.
func (s *State) Set(names []string) (set regionplan.Set, err error) {
	for _, name := range names {
		i, err := s.Region(name)
		if err != nil {
			return 0, err
		}
		set |= 1 << i
	}
	if set == 0 {
		return 0, errors.New("no region given")
	}
	return set, nil
}

// namesOf returns the names of the regions of a set.
func (s *State) namesOf(set regionplan.Set) (names []string) {
	for i, name := range s.Regions {
		if set.Has(i) {
			names = append(names, name)
		}
	}
	return names
}

// service returns a service by its name.
func (s *State) service(name string) (*Service, error) {
	var names []string
	for i := range s.Services {
		if s.Services[i].Name == name {
			return &s.Services[i], nil
		}
		names = append(names, s.Services[i].Name)
	}
	return nil, errors.Errorf("unknown service %q; there are: %s", name, strings.Join(names, ", "))
}

// Clone returns a copy that can be changed independently.
func (s *State) Clone() *State {
	c := &State{Regions: s.Regions}
	for _, service := range s.Services {
		demand := make(map[regionplan.Source]float64, len(service.Demand))
		for source, slots := range service.Demand {
			demand[source] = slots
		}
		c.Services = append(c.Services, Service{Name: service.Name, Capacity: slices.Clone(service.Capacity), Demand: demand})
	}
	return c
}

// Drain removes all capacity of a region.
func (s *State) Drain(region string) error {
	i, err := s.Region(region)
	if err != nil {
		return err
	}
	for _, service := range s.Services {
		service.Capacity[i] = 0
	}
	return nil
}

// SetRegions lets the demand for a service that may run in the regions from run in the regions to.
func (s *State) SetRegions(service string, from, to []string) error {
	target, err := s.service(service)
	if err != nil {
		return err
	}
	old, err := s.Set(from)
	if err != nil {
		return errors.Wrap(err, "FROM")
	}
	set, err := s.Set(to)
	if err != nil {
		return errors.Wrap(err, "TO")
	}
	moved := 0.0
	for i := range s.Regions {
		source := regionplan.Source{Region: i, Allowed: old}
		slots := target.Demand[source]
		delete(target.Demand, source)
		target.Demand[regionplan.Source{Region: i, Allowed: set}] += slots
		moved += slots
	}
	if moved == 0 {
		return errors.Errorf("no demand for %s may run in exactly %s", service, strings.Join(s.namesOf(old), ","))
	}
	return nil
}

// AddTargets adds slots of a service in a region.
func (s *State) AddTargets(service, region string, slots float64) error {
	target, err := s.service(service)
	if err != nil {
		return err
	}
	i, err := s.Region(region)
	if err != nil {
		return err
	}
	if !(slots > 0) || math.IsInf(slots, 1) {
		return errors.Errorf("%v slots; it must be a number above 0", slots)
	}
	if slots > maxAddedSlots {
		return errors.Errorf("%v slots; it must be at most %v", slots, maxAddedSlots)
	}
	target.Capacity[i] += slots
	return nil
}

// Load is the planned load of a service in one region.
type Load struct {
	CapacitySlots float64 `json:"capacity_slots"`
	LoadSlots     float64 `json:"load_slots"`
	// Utilization is the load per slot, nil without capacity.
	Utilization *float64 `json:"utilization"`
}

// Region compares the load of a service in one region.
type Region struct {
	Service string `json:"service"`
	Region  string `json:"region"`
	Before  Load   `json:"before"`
	After   Load   `json:"after"`
}

// Shortage is demand for which the regions that it may use have no room.
type Shortage struct {
	Service        string   `json:"service"`
	CallersRegion  string   `json:"callers_region"`
	AllowedRegions []string `json:"may_run_in"`
	DemandSlots    float64  `json:"demand_slots"`
	// BeforeSlots and AfterSlots are the parts of the demand without room.
	BeforeSlots float64 `json:"without_room_before_slots"`
	AfterSlots  float64 `json:"without_room_after_slots"`
}

// Result is what a change would do.
type Result struct {
	Regions     []Region   `json:"regions"`
	WithoutRoom []Shortage `json:"without_room"`
	// BeforeSlots and AfterSlots are all demand without room.
	BeforeSlots float64 `json:"without_room_before_slots"`
	AfterSlots  float64 `json:"without_room_after_slots"`
}

// IsWorse reports whether the change leaves more demand without room.
func (r *Result) IsWorse() bool { return r.AfterSlots >= r.BeforeSlots+minSlots }

// Compare returns what the change from one state to another does. Both have the same services.
func Compare(before, after *State) *Result {
	result := &Result{WithoutRoom: []Shortage{}}
	for i := range before.Services {
		old, changed := &before.Services[i], &after.Services[i]
		oldLoad, oldShort := old.plan()
		load, short := changed.plan()
		for region, name := range before.Regions {
			result.Regions = append(result.Regions, Region{
				Service: old.Name, Region: name, Before: loadOf(old.Capacity[region], oldLoad[region]), After: loadOf(changed.Capacity[region], load[region]),
			})
		}
		for _, source := range sourcesOf(oldShort, short) {
			demand := changed.Demand[source]
			if _, exists := changed.Demand[source]; !exists {
				demand = old.Demand[source]
			}
			result.BeforeSlots += oldShort[source]
			result.AfterSlots += short[source]
			result.WithoutRoom = append(result.WithoutRoom, Shortage{
				Service: old.Name, CallersRegion: before.Regions[source.Region], AllowedRegions: before.namesOf(source.Allowed),
				DemandSlots: demand, BeforeSlots: oldShort[source], AfterSlots: short[source],
			})
		}
	}
	return result
}

func loadOf(capacity, load float64) Load {
	l := Load{CapacitySlots: capacity, LoadSlots: load}
	if capacity > 0 {
		utilization := load / capacity
		l.Utilization = &utilization
	}
	return l
}

// sourcesOf returns the sources in any of the maps in a fixed order.
func sourcesOf(maps ...map[regionplan.Source]float64) (list []regionplan.Source) {
	for _, m := range maps {
		for source := range m {
			list = append(list, source)
		}
	}
	slices.SortFunc(list, compareSources)
	return slices.Compact(list)
}

// compareSources orders sources that may use few regions first.
func compareSources(a, b regionplan.Source) int {
	return cmp.Or(cmp.Compare(a.Allowed.Size(), b.Allowed.Size()), cmp.Compare(a.Allowed, b.Allowed), cmp.Compare(a.Region, b.Region))
}

// plan returns the load of each region by the region plan, and the demand without room. In a region
// that is too small, sources that may use few regions get room first, as in the plan; those that may
// use equally many share it.
func (s *Service) plan() (load []float64, short map[regionplan.Source]float64) {
	load, short = make([]float64, len(s.Capacity)), make(map[regionplan.Source]float64)
	fractions := regionplan.Compute(s.Capacity, s.Demand)
	sources := sourcesOf(s.Demand)
	for region := range s.Capacity {
		left := s.Capacity[region]
		for i := 0; i < len(sources); {
			wanted, n := 0.0, i
			for ; n < len(sources) && sources[n].Allowed.Size() == sources[i].Allowed.Size(); n++ {
				wanted += s.Demand[sources[n]] * fractions[sources[n]][region]
			}
			load[region] += wanted
			if missing := wanted - left; missing > 0 {
				for _, source := range sources[i:n] {
					short[source] += s.Demand[source] * fractions[source][region] * missing / wanted
				}
			}
			left = max(0, left-wanted)
			i = n
		}
	}
	for source, slots := range short {
		if slots < minSlots {
			delete(short, source)
		}
	}
	return load, short
}
