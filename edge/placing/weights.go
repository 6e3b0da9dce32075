package placing

import (
	"math"
	"sort"
	"time"
)

const (
	// plannedUtilization of a region's slots is planned for its own callers before the
	// rest goes elsewhere: above it, requests wait for each other, and the delay to
	// another region is short against their latency objective.
	plannedUtilization = 0.5
	// initialUtilization is the part of all slots that is taken to be asked for until demand
	// is measured.
	initialUtilization = 0.6
	// baseShiftRate is how much of a region's requests may change their region in a second:
	// half of what the cap permits between two windows of two seconds at most, the
	// rest is for chance.
	baseShiftRate = 0.02
	// refusalShiftRate is the same while callers are refused for want of slots, and for
	// refusedFor after. Load pattern: a surge goes round the regions; with calmRate the
	// weights come too late for each one, and callers are refused though another region
	// has half of its slots free. It leaves a third of the cap for chance. To move so fast
	// always would cost more cold runs on a calm day than it serves.
	refusalShiftRate = 0.05
	refusalWindow    = time.Second
	// lossShiftRate is the same while a region loses capacity: callers would be refused.
	lossShiftRate = 0.5
	// deficitTimeConstant is the time constant with which deficits fade.
	deficitTimeConstant = 2 * time.Second
	// demandTimeConstant is the time constant of the measured demand.
	demandTimeConstant = 1500 * time.Millisecond
)

// demand measures how many slots the arriving requests keep busy.
type demand struct {
	slots float64
	at    time.Time
}

// add counts a request that takes work.
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

// planWeights returns, for callers of one region, the part of their requests that each
// region runs. Demand and capacity are in slots, by region. Regions are filled
// evenly, above fillShare: when all are short, callers everywhere wait alike.
func planWeights(own string, demand, capacity map[string]float64) map[string]float64 {
	excess := make(map[string]float64)
	spare, spareSum, excessSum := make(map[string]float64), 0.0, 0.0
	fill := max(plannedUtilization, sum(demand)/max(1, sum(capacity)))
	for region, slots := range capacity {
		room := fill*slots - demand[region]
		if room >= 0 {
			spare[region] = room
			spareSum += room
		} else {
			excess[region] = -room
			excessSum -= room
		}
	}
	out := map[string]float64{}
	if demand[own] <= 0 || excess[own] <= 0 || spareSum <= 0 {
		out[own] = 1
		return out
	}
	moved := excess[own] * min(1, spareSum/excessSum)
	for region, room := range spare {
		if room > 0 {
			out[region] = moved / demand[own] * room / spareSum
		}
	}
	out[own] = 1 - moved/demand[own]
	return out
}

// regionWeights divide the requests of this VM's callers between regions, by deficit
// round robin. They move slowly: a surge that changes its region at once meets cold targets.
type regionWeights struct {
	// weight is the part of the requests that each region should run.
	weight map[string]float64
	// deficit is how many requests each region is behind its weight.
	deficit map[string]float64
	at      time.Time
	// accruedAt is when the deficits faded last.
	accruedAt time.Time
}

// initialize keeps requests in their region as far as its targets can carry an equal part
// of all callers: nothing is known of the demand yet.
func (w *regionWeights) initialize(now time.Time, own string, capacity map[string]float64) {
	w.deficit, w.at = make(map[string]float64), now
	needs := make(map[string]float64)
	for region := range capacity {
		needs[region] = initialUtilization * sum(capacity) / float64(len(capacity))
	}
	w.weight = planWeights(own, needs, capacity)
}

// step moves the weights towards the wanted ones by at most rate a second.
func (w *regionWeights) step(now time.Time, wanted map[string]float64, rate float64) {
	most := rate * min(now.Sub(w.at).Seconds(), 1)
	w.at = now
	distance := 0.0
	for _, region := range regionsOf(w.weight, wanted) {
		distance += math.Abs(wanted[region]-w.weight[region]) / 2
	}
	if distance == 0 {
		return
	}
	move := min(1, most/distance)
	next := make(map[string]float64)
	for _, region := range regionsOf(w.weight, wanted) {
		part := w.weight[region] + move*(wanted[region]-w.weight[region])
		if part > 1e-6 {
			next[region] = part
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

// accrue gives each region its part of one more request. Deficits fade: keys divide
// unevenly between regions, and to make that good would send some of them to cold targets
// by turns. Only quick changes are held back.
func (w *regionWeights) accrue(now time.Time) {
	left := math.Exp(-now.Sub(w.accruedAt).Seconds() / deficitTimeConstant.Seconds())
	w.accruedAt = now
	for region := range w.deficit {
		w.deficit[region] *= left
	}
	for region, part := range w.weight {
		w.deficit[region] += part
	}
}

// pick returns the region of one request. A key has its region as long as the
// weights permit: weighted rendezvous hashing moves as few keys as possible when
// weights change, and callers of all regions that have equal weights meet at the same
// warm target. Once a region is ahead of its weight by tolerance the one with the greatest
// deficit is served, so that the weights hold in every few requests and not only on average.
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

// SetKeyOwnerCount tells among how many VMs of the own failure domain keys are divided.
//
// A VM that decides on few keys cannot keep the weights with them: some are asked for far
// more often than others, and they would change their region by turns, each time to a cold
// target. What a region is ahead at one VM it is behind at another, so that the tolerance
// of each may grow with the root of their number while that of all together stays.
func (b *Balancer) SetKeyOwnerCount(vms float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tolerance = baseTolerance * math.Sqrt(max(1, vms))
}

// preferredRegion is the region of a key.
func (w *regionWeights) preferredRegion(key uint64, permitted func(region string) bool) (string, bool) {
	best, lowest := "", math.Inf(1)
	for region, part := range w.weight {
		if !permitted(region) {
			continue
		}
		if rank := WeightedRank(key, HashOf(region), part); rank < lowest || (rank == lowest && region < best) {
			best, lowest = region, rank
		}
	}
	return best, best != ""
}

// greatestDeficit returns the permitted region with the greatest deficit.
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

// maxDeficit bounds, in tolerances, what a region that could not be used saves up.
const maxDeficit = 2

// charge counts a request that a region runs.
func (w *regionWeights) charge(region string, tolerance float64) {
	w.deficit[region]--
	for r, c := range w.deficit {
		w.deficit[r] = min(max(c, -maxDeficit*tolerance), maxDeficit*tolerance)
	}
}
