package regionplan

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// deployment is a random capacity of regions and demand of sources.
type deployment struct {
	capacity []float64
	demand   map[Source]float64
}

func drawDeployment(t *rapid.T) deployment {
	d := deployment{demand: make(map[Source]float64)}
	regions := rapid.IntRange(2, 5).Draw(t, "regions")
	for i := range regions {
		d.capacity = append(d.capacity, float64(rapid.SampledFrom([]int{0, 1, 10, 20, 100, 160}).Draw(t, fmt.Sprint("capacity", i))))
	}
	for range rapid.IntRange(1, 8).Draw(t, "sources") {
		source := Source{
			Region:  rapid.IntRange(0, regions-1).Draw(t, "region"),
			Allowed: Set(rapid.Uint32Range(1, uint32(All(regions))).Draw(t, "allowed")),
		}
		d.demand[source] = rapid.Float64Range(0, 150).Draw(t, "demand")
	}
	return d
}

func (d deployment) slots(set Set) float64 {
	total := 0.0
	for region, slots := range d.capacity {
		if set.Has(region) {
			total += slots
		}
	}
	return total
}

// demandWithin returns the demand that can run in no region outside a set.
func (d deployment) demandWithin(set, usable Set) float64 {
	total := 0.0
	for source, slots := range d.demand {
		if (source.Allowed&usable)&^set == 0 && source.Allowed&usable != 0 {
			total += slots
		}
	}
	return total
}

func (d deployment) loads(plan map[Source][]float64) []float64 {
	loads := make([]float64, len(d.capacity))
	for source, fractions := range plan {
		for region, fraction := range fractions {
			loads[region] += fraction * d.demand[source]
		}
	}
	return loads
}

// Guards against plans that lose requests, or send them where they may not run, also with demand and
// capacity far from the usual.
func TestFractionsRespectSets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawDeployment(t)
		for i := range d.capacity {
			d.capacity[i] *= rapid.SampledFrom([]float64{1, 1e-3, 1e-9}).Draw(t, fmt.Sprint("scale", i))
		}
		for _, source := range slices.SortedFunc(maps.Keys(d.demand), bySource) {
			d.demand[source] = rapid.SampledFrom([]float64{d.demand[source], 1e-12, 1e7}).Draw(t, "demand")
		}
		plan := Compute(d.capacity, d.demand)
		for source := range d.demand {
			sum := 0.0
			for region, fraction := range plan[source] {
				if !(fraction >= 0) || fraction > 0 && !source.Allowed.Has(region) {
					t.Fatalf("%v: fraction %v in region %d", source, fraction, region)
				}
				sum += fraction
			}
			// Written so that NaN fails, which compares false with everything.
			if !(math.Abs(sum-1) <= 1e-9) {
				t.Fatalf("%v: fractions %v sum to %v", source, plan[source], sum)
			}
		}
	})
}

// Guards against a region that is planned beyond its capacity while a plan exists that serves all
// sources: by Hall's theorem, if no set of regions has more demand of its own than capacity.
func TestNoRegionIsOverfullWhileAPlanExists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawDeployment(t)
		usable := Set(0)
		for region, slots := range d.capacity {
			if slots > 0 {
				usable |= 1 << region
			}
		}
		highest := 0.0
		for set := Set(1); set <= All(len(d.capacity)); set++ {
			if set.Within(usable) {
				highest = max(highest, d.demandWithin(set, usable)/d.slots(set))
			}
		}
		if highest > 1 {
			t.Skip("no plan serves all sources")
		}
		for region, load := range d.loads(Compute(d.capacity, d.demand)) {
			if limit := max(PlannedUtilization, highest) * d.capacity[region]; usable.Has(region) && load > 1.05*limit+0.01 {
				t.Fatalf("region %d: load %.2f, limit %.2f, plan %v", region, load, limit, Compute(d.capacity, d.demand))
			}
		}
	})
}

// Guards against sources that can use a single region and lose it to sources that can use others,
// however much refused callers overstate their demand.
func TestSingleRegionSourceGetsItsRegion(t *testing.T) {
	for _, overstated := range []float64{16, 160} {
		plan := Compute([]float64{72, 16, 70}, map[Source]float64{
			{1, 0b010}: overstated, {0, 0b111}: 40, {1, 0b111}: 50, {2, 0b111}: 30, {1, 0b011}: 5,
		})
		for source, fractions := range plan {
			if source.Allowed != 0b010 && fractions[1] > 0.01 {
				t.Errorf("demand %v: %v sends %v to the full region", overstated, source, fractions)
			}
		}
		if moved := plan[Source{1, 0b111}]; math.Abs(moved[0]+moved[2]-1) > 0.02 {
			t.Errorf("demand %v: %v", overstated, moved)
		}
	}
}

// Guards against requests that move although their own regions have room.
func TestNothingMovesBelowPlannedUtilization(t *testing.T) {
	plan := Compute([]float64{100, 20, 100}, map[Source]float64{{0, 0b111}: 40, {1, 0b111}: 3, {1, 0b010}: 3, {2, 0b110}: 30, {2, 0b100}: 5})
	for source, fractions := range plan {
		if fractions[source.Region] != 1 {
			t.Errorf("%v: %v", source, fractions)
		}
	}
}

func bySource(a, b Source) int {
	return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Allowed, b.Allowed))
}

// Guards against plans that jump, so that weights follow them to and fro: one per cent more demand of a
// source must move no more than an eighth of all work. The division of what moves jumps by less than that
// where a region becomes half full or full. Beyond capacity, where sources may have no room in any region,
// their fractions are not bounded so.
func TestPlanChangesGradually(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawDeployment(t)
		total := 0.0
		for source := range d.demand {
			d.demand[source] = max(5, d.demand[source])
			total += d.demand[source]
		}
		for i := range d.capacity {
			d.capacity[i] = max(10, d.capacity[i])
		}
		if total > d.slots(All(len(d.capacity))) {
			t.Skip("more demand than capacity")
		}
		d.requireGradualPlan(t, total/8)
	})
}

// requireGradualPlan fails if one per cent more demand of the first source moves more slots than allowed.
func (d deployment) requireGradualPlan(t rapid.TB, allowed float64) {
	before := Compute(d.capacity, d.demand)
	changed := maps.Clone(d.demand)
	changed[slices.SortedFunc(maps.Keys(d.demand), bySource)[0]] *= 1.01
	after, moved := Compute(d.capacity, changed), 0.0
	for source, fractions := range after {
		for region, fraction := range fractions {
			moved += math.Abs(fraction-before[source][region]) / 2 * d.demand[source]
		}
	}
	if moved > allowed {
		t.Fatalf("%v: %.1f slots move, %.1f allowed, %v to %v", d, moved, allowed, before, after)
	}
}

// Guards against a division that depends on which regions share a level: each of these deployments uses half of
// its slots, and one per cent more of the first source makes one of its regions a level of its own.
func TestPlanChangesGraduallyWhereRegionsJoinALevel(t *testing.T) {
	for _, d := range []deployment{
		{[]float64{10, 20, 10, 10}, map[Source]float64{{0, 0b0100}: 5, {0, 0b0110}: 5, {0, 0b1111}: 5, {1, 0b1010}: 5, {2, 0b0011}: 5}},
		{[]float64{10, 10, 20, 10}, map[Source]float64{{0, 0b1000}: 5, {0, 0b1100}: 5, {0, 0b1110}: 5, {1, 0b0111}: 5, {2, 0b1101}: 5}},
		{[]float64{10, 20, 10, 20}, map[Source]float64{{0, 0b0110}: 10, {1, 0b0111}: 5, {1, 0b1100}: 5, {1, 0b1110}: 5, {2, 0b0101}: 5}},
		{[]float64{10, 10, 20, 10, 10}, map[Source]float64{{0, 0b00011}: 5, {0, 0b01010}: 5, {1, 0b00101}: 10, {2, 0b01110}: 5, {2, 0b10101}: 5}},
	} {
		d.requireGradualPlan(t, d.slots(All(len(d.capacity)))/2/25)
	}
}

// Measures a plan with six regions and six sets. The demand is that of a number of draws for which balance
// took longest.
func BenchmarkCompute(b *testing.B) {
	capacity := []float64{720, 140, 700, 720, 140, 700}
	demand := make(map[Source]float64)
	for region := range capacity {
		for _, set := range []Set{All(6), 0b000010, 0b000011, 0b010110, 0b111000, 0b101101} {
			demand[Source{region, set}] = 170 / float64(set.Size())
		}
	}
	for b.Loop() {
		Compute(capacity, demand)
	}
}
