package regionplan

import (
	"cmp"
	"math"
	"slices"
)

const (
	// maxUnions bounds the sets of regions that are compared. Six regions have at most 63; with more
	// the plan may be uneven, but respects the sets.
	maxUnions = 256
	// minAdmitted is the smallest fraction of a source's demand that is planned, so that each source
	// has fractions.
	minAdmitted = 0.001
	// minDemand replaces a lower demand, in slots, so that a source without any has fractions.
	minDemand = 1e-9
	// sameUtilization is the relative difference below which two sets of regions are equally full. The
	// smaller set is planned first then.
	sameUtilization = 1e-6
)

// row is one source.
type row struct {
	Source
	// usable are the allowed regions with capacity.
	usable Set
	// demand is what is planned, in slots.
	demand   float64
	fraction []float64
	settled  bool
}

// problem is a transportation problem: rows are to be divided over regions.
type problem struct {
	// capacity is in slots, usable are the regions that have some.
	capacity []float64
	usable   Set
	rows     []*row
	// own is the demand, in slots, that each region should run: of sources with no other region, and of
	// its callers. What levels leave to a source does not change it.
	own []float64
	// unions are all unions of the rows' sets, smaller ones first.
	unions []Set
}

func newProblem(capacity []float64, demand map[Source]float64) *problem {
	p := &problem{capacity: capacity}
	for region, slots := range capacity {
		if slots > 0 {
			p.usable |= 1 << region
		}
	}
	for source, slots := range demand {
		r := &row{Source: source, usable: source.Allowed & p.usable, demand: max(slots, minDemand), fraction: make([]float64, len(capacity))}
		p.rows = append(p.rows, r)
		if r.usable == 0 {
			r.stay(len(capacity))
		}
	}
	// The order of additions decides the last digits, which must not differ between VMs.
	slices.SortFunc(p.rows, func(a, b *row) int {
		return cmp.Or(compareSets(a.usable, b.usable), cmp.Compare(a.Region, b.Region), cmp.Compare(a.Allowed, b.Allowed))
	})
	p.addUnions()
	return p
}

// compareSets orders smaller sets first.
func compareSets(a, b Set) int { return cmp.Or(cmp.Compare(a.Size(), b.Size()), cmp.Compare(a, b)) }

// stay plans a source of which no region has capacity.
func (r *row) stay(regions int) {
	r.settled = true
	if r.Allowed.Has(r.Region) {
		r.fraction[r.Region] = 1
		return
	}
	for region := range regions {
		if r.Allowed.Has(region) {
			r.fraction[region] = 1
			return
		}
	}
}

func (p *problem) addUnions() {
	for _, r := range p.rows {
		if r.usable == 0 || slices.Contains(p.unions, r.usable) {
			continue
		}
		for _, union := range append([]Set{0}, p.unions...) {
			if union |= r.usable; !slices.Contains(p.unions, union) && len(p.unions) < maxUnions {
				p.unions = append(p.unions, union)
			}
		}
	}
	slices.SortFunc(p.unions, compareSets)
}

// slots returns the capacity of a set of regions.
func (p *problem) slots(set Set) float64 {
	total := 0.0
	for region, slots := range p.capacity {
		if set.Has(region) {
			total += slots
		}
	}
	return total
}

// limitToCapacity lowers the demand to what the regions can carry, that of sources that may use few
// regions last. Refused callers come back and count again: their demand must not take regions from
// others that they could not fill anyway.
func (p *problem) limitToCapacity() {
	for i := 0; i < len(p.rows); {
		set, wanted, n := p.rows[i].usable, 0.0, i
		for ; n < len(p.rows) && p.rows[n].usable == set; n++ {
			wanted += p.rows[n].demand
		}
		if room := p.room(set, p.rows[:i]); set != 0 && room < wanted {
			scale := max(minAdmitted, room/wanted)
			for _, r := range p.rows[i:n] {
				r.demand *= scale
			}
		}
		i = n
	}
}

// addOwn sums up the demand that each region should run.
func (p *problem) addOwn() {
	p.own = make([]float64, len(p.capacity))
	for _, r := range p.rows {
		for region := range p.own {
			if r.usable.Has(region) && (r.usable.Size() == 1 || region == r.Region) {
				p.own[region] += r.demand
			}
		}
	}
}

// room returns the slots that the admitted rows leave for sources with a set of regions.
func (p *problem) room(set Set, admitted []*row) float64 {
	room := math.Inf(1)
	for _, union := range p.unions {
		if !set.Within(union) {
			continue
		}
		left := p.slots(union)
		for _, r := range admitted {
			if r.usable != 0 && r.usable.Within(union) {
				left -= r.demand
			}
		}
		room = min(room, left)
	}
	return room
}

// densest returns the set of regions that has the highest utilization by the sources that can use no
// other region of those left.
func (p *problem) densest(left Set) (densest Set, highest float64) {
	densest = left
	for _, union := range p.unions {
		set := union & left
		if set == 0 {
			continue
		}
		used := 0.0
		for _, r := range p.rows {
			if !r.settled && (r.usable & left).Within(set) {
				used += r.demand
			}
		}
		if utilization := used / p.slots(set); utilization > highest*(1+sameUtilization) {
			densest, highest = set, utilization
		}
	}
	return densest, highest
}
