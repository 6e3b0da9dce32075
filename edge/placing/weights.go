package placing

import (
	"math"
	"sort"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/regionplan"
)

const (
	// plannedUtilization is the utilization of a region above which its callers' requests
	// are sent to other regions.
	plannedUtilization = regionplan.PlannedUtilization
	// initialUtilization is the utilization that is assumed until demand is measured.
	initialUtilization = 0.6
	// baseShiftRate is the fraction of a region's requests that may change region per
	// second. It is about half of what is permitted between two windows of two seconds, to
	// leave room for random variation.
	baseShiftRate = 0.02
	// rejectionShiftRate applies for rejectionWindow after a request is rejected for lack of
	// capacity, so that a surge can use free slots of other regions while it lasts: at
	// baseShiftRate the weights follow too late, and requests are rejected while half of
	// another region's slots are free. It leaves a third of the permitted shift for random
	// variation, and is not the default because faster shifts cause more cold runs.
	rejectionShiftRate = 0.05
	rejectionWindow    = time.Second
	// lossShiftRate applies for lossWindow after an unexpected loss of capacity.
	lossShiftRate = 0.5
	// deficitTimeConstant is the time constant of the decay of deficits.
	deficitTimeConstant = 2 * time.Second
	// demandTimeConstant is the time constant of the measured demand.
	demandTimeConstant = 1500 * time.Millisecond
)

// demand measures the offered load in slots, with exponential decay.
type demand struct {
	slots float64
	at    time.Time
}

// add counts a request with its expected service time.
func (d *demand) add(now time.Time, work time.Duration) {
	d.decay(now)
	d.slots += work.Seconds() / demandTimeConstant.Seconds()
}

func (d *demand) decay(now time.Time) {
	if !d.at.IsZero() {
		d.slots *= math.Exp(-now.Sub(d.at).Seconds() / demandTimeConstant.Seconds())
	}
	d.at = now
}

func sum(values map[string]float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

// planWeights returns the fraction of the requests of one region's callers that each region
// should run. Demand and capacity are in slots by region. If total demand exceeds
// plannedUtilization, all regions are filled to the same utilization.
func planWeights(own string, demand, capacity map[string]float64) map[string]float64 {
	excess := make(map[string]float64)
	spare, totalSpare, totalExcess := make(map[string]float64), 0.0, 0.0
	utilization := max(plannedUtilization, sum(demand)/max(1, sum(capacity)))
	for region, slots := range capacity {
		free := utilization*slots - demand[region]
		if free >= 0 {
			spare[region] = free
			totalSpare += free
		} else {
			excess[region] = -free
			totalExcess -= free
		}
	}
	weights := map[string]float64{}
	if demand[own] <= 0 || excess[own] <= 0 || totalSpare <= 0 {
		weights[own] = 1
		return weights
	}
	moved := excess[own] * min(1, totalSpare/totalExcess)
	for region, free := range spare {
		if free > 0 {
			weights[region] = moved / demand[own] * free / totalSpare
		}
	}
	weights[own] = 1 - moved/demand[own]
	return weights
}

// regionWeights distributes the requests of this VM's callers over regions by deficit round
// robin. Weights change gradually, because requests that change region meet cold targets.
type regionWeights struct {
	// weight is the fraction of the requests that each region should run.
	weight map[string]float64
	// deficit is how many requests each region is behind its weight.
	deficit map[string]float64
	at      time.Time
	// accruedAt is when the deficits were last decayed.
	accruedAt time.Time
}

// initialize plans the first weights with equal demand in all regions, before any demand is
// measured.
func (w *regionWeights) initialize(now time.Time, own string, capacity map[string]float64) {
	w.deficit, w.at = make(map[string]float64), now
	demand := make(map[string]float64)
	for region := range capacity {
		demand[region] = initialUtilization * sum(capacity) / float64(len(capacity))
	}
	w.weight = planWeights(own, demand, capacity)
}

// step moves the weights towards the wanted ones by at most rate per second.
func (w *regionWeights) step(now time.Time, wanted map[string]float64, rate float64) {
	maxShift := rate * min(now.Sub(w.at).Seconds(), 1)
	w.at = now
	distance := 0.0
	for _, region := range regionsOf(w.weight, wanted) {
		distance += math.Abs(wanted[region]-w.weight[region]) / 2
	}
	if distance == 0 {
		return
	}
	move := min(1, maxShift/distance)
	next := make(map[string]float64)
	for _, region := range regionsOf(w.weight, wanted) {
		weight := w.weight[region] + move*(wanted[region]-w.weight[region])
		if weight > 1e-6 {
			next[region] = weight
		}
	}
	w.weight = next
}

func regionsOf(maps ...map[string]float64) []string {
	var all []string
	seen := make(map[string]bool)
	for _, m := range maps {
		for region := range m {
			if !seen[region] {
				seen[region] = true
				all = append(all, region)
			}
		}
	}
	sort.Strings(all)
	return all
}

// accrue adds one request to the deficits by weight. Deficits decay, because keys do not
// divide evenly between regions and correcting a lasting imbalance would move some of them
// to cold targets repeatedly.
func (w *regionWeights) accrue(now time.Time) {
	decay := math.Exp(-now.Sub(w.accruedAt).Seconds() / deficitTimeConstant.Seconds())
	w.accruedAt = now
	for region := range w.deficit {
		w.deficit[region] *= decay
	}
	for region, weight := range w.weight {
		w.deficit[region] += weight
	}
}

// pick selects the region of one request. A key keeps its preferred region until that is
// ahead of its weight by tolerance; then the region with the greatest deficit is used, so
// that the weights hold over short periods and not only on average.
func (w *regionWeights) pick(r *Request, tolerance float64, permitted func(region string) bool) (string, bool) {
	if r.HasKey {
		region, ok := w.preferredRegion(r.Key, permitted)
		if ok && w.deficit[region] > -tolerance {
			return region, true
		}
	}
	return w.greatestDeficit(permitted)
}

// baseTolerance is how many requests a region may be ahead of its weight at one VM.
const baseTolerance = 4

// SetKeyOwnerCount sets the number of VMs of the local failure domain that own keys.
//
// A VM that owns few keys cannot follow the weights closely without moving popular keys
// between regions. Deviations of independent VMs partly cancel out, so the tolerance of each
// grows with the square root of their number.
func (b *Balancer) SetKeyOwnerCount(vms float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tolerance = baseTolerance * math.Sqrt(max(1, vms))
}

// preferredRegion selects the region of a key by weighted rendezvous hashing, which moves
// few keys when weights change and agrees between VMs that have equal weights.
func (w *regionWeights) preferredRegion(key uint64, permitted func(region string) bool) (string, bool) {
	best, lowest := "", math.Inf(1)
	for region, weight := range w.weight {
		if !permitted(region) {
			continue
		}
		if rank := WeightedRank(key, HashOf(region), weight); rank < lowest || (rank == lowest && region < best) {
			best, lowest = region, rank
		}
	}
	return best, best != ""
}

// greatestDeficit returns the permitted region that is furthest behind its weight.
func (w *regionWeights) greatestDeficit(permitted func(region string) bool) (string, bool) {
	best, found := "", false
	for region := range w.weight {
		if !permitted(region) {
			continue
		}
		if !found || w.deficit[region] > w.deficit[best] || (w.deficit[region] == w.deficit[best] && region < best) {
			best, found = region, true
		}
	}
	return best, found
}

// maxDeficit bounds the absolute deficit of a region, as a multiple of the tolerance, so that
// a region that was unavailable gets no burst afterwards.
const maxDeficit = 2

// charge counts a request that was assigned to a region.
func (w *regionWeights) charge(region string, tolerance float64) {
	w.deficit[region]--
	for r, d := range w.deficit {
		w.deficit[r] = min(max(d, -maxDeficit*tolerance), maxDeficit*tolerance)
	}
}
