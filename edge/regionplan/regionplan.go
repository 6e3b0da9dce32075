// Package regionplan plans in which regions requests run if some of them may run in some regions
// only. It does no I/O and depends on its arguments alone, so that VMs that know the same demand
// compute the same plan.
//
// The plan evens out the utilization of regions: first those regions whose own sources fill them most
// are left to these sources, then the other sources share the other regions. Where regions are used
// less than PlannedUtilization, requests stay in the region of their callers.
package regionplan

import "math/bits"

// MaxRegions is the largest number of regions that a Set can hold.
const MaxRegions = 32

// PlannedUtilization is the utilization of a region above which requests are sent to other regions,
// since they would queue and a round trip is short.
const PlannedUtilization = 0.5

// Set is a set of regions: bit i is the i-th region in the order of their names.
type Set uint32

// All returns the set of the first n regions.
func All(n int) Set { return Set(uint64(1)<<n - 1) }

// Has reports whether the set contains a region.
func (s Set) Has(region int) bool { return s&(1<<region) != 0 }

// Size returns the number of regions in the set.
func (s Set) Size() int { return bits.OnesCount32(uint32(s)) }

// Within reports whether all regions of the set are in other.
func (s Set) Within(other Set) bool { return s&^other == 0 }

// Source is demand of one region's callers that may run in some regions only.
type Source struct {
	Region  int
	Allowed Set
}

// Compute returns, for each source, the fraction of its requests that each region should run.
// Capacity and demand are in slots. The fractions of a source sum to 1 and are 0 outside its set,
// except for an empty set, which has no fractions. A source of which no region has capacity stays in
// its own region, or in the first that it may use.
func Compute(capacity []float64, demand map[Source]float64) map[Source][]float64 {
	p := newProblem(capacity, demand)
	p.limitToCapacity()
	p.addOwn()
	for left := p.usable; left != 0; {
		set, utilization := p.densest(left)
		if utilization <= PlannedUtilization {
			set, utilization = left, PlannedUtilization
		}
		p.fill(set, left, utilization)
		left &^= set
	}
	plan := make(map[Source][]float64, len(p.rows))
	for _, r := range p.rows {
		plan[r.Source] = r.fraction
	}
	return plan
}
