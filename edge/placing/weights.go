package placing

import (
	"math"
	"sort"
	"time"
)

const (
	// fillShare of a region's slots is planned for its own callers before the
	// rest goes elsewhere: above it, requests wait for each other, and the delay to
	// another region is short against what callers hope for.
	fillShare = 0.5
	// startUse is the part of all slots that is taken to be asked for until demand
	// is measured.
	startUse = 0.6
	// calmRate is how much of a region's requests may change their region in a second.
	// Half of what the cap permits between two windows of two seconds at most, the
	// rest is for chance.
	calmRate = 0.02
	// refusedRate is the same while callers are refused for want of slots, and for
	// refusedFor after. Load pattern: the callers of one region after the other crowd in;
	// with calmRate the shares come too late for each crowd, and callers are refused
	// though another region has half of its slots free. It leaves a third of the cap
	// for chance. Always moving so fast teaches more targets on a calm day than it
	// serves. Mean worth of the standard days with calmRate / this: kovacevic-spend
	// 0.734 / 0.738, vliesbuch 0.568 / 0.574, dphbd-route 0.699 / 0.700.
	refusedRate = 0.05
	refusedFor  = time.Second
	// lossRate is the same while a region loses capacity: callers would be refused.
	lossRate = 0.5
	// creditTime is the time constant with which credit fades.
	creditTime = 2 * time.Second
	// demandTime is the time constant of the measured demand.
	demandTime = 1500 * time.Millisecond
)

// demand measures how many slots the arriving requests keep busy.
type demand struct {
	slots float64
	at    time.Time
}

// add counts a request that takes work.
func (d *demand) add(now time.Time, work time.Duration) {
	d.decay(now)
	d.slots += work.Seconds() / demandTime.Seconds()
}

func (d *demand) decay(now time.Time) {
	if !d.at.IsZero() {
		d.slots *= math.Exp(-now.Sub(d.at).Seconds() / demandTime.Seconds())
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

// plan returns, for callers of one region, the share of their requests that each
// region runs. Demand and capacity are in slots, by region. Regions are filled
// evenly, above fillShare: when all are short, callers everywhere wait alike.
func plan(own string, demand, capacity map[string]float64) map[string]float64 {
	excess := make(map[string]float64)
	spare, spareSum, excessSum := make(map[string]float64), 0.0, 0.0
	fill := max(fillShare, sum(demand)/max(1, sum(capacity)))
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

// shares divide the requests of this VM's callers between regions. They move
// slowly: a crowd that changes its region at once meets cold targets.
type shares struct {
	part   map[string]float64
	credit map[string]float64
	at     time.Time
	// accrued is when credit faded last.
	accrued time.Time
}

// begin keeps requests in their region as far as its targets can carry an equal part
// of all callers: nothing is known of the demand yet.
func (s *shares) begin(now time.Time, own string, capacity map[string]float64) {
	s.credit, s.at = make(map[string]float64), now
	needs := make(map[string]float64)
	for region := range capacity {
		needs[region] = startUse * sum(capacity) / float64(len(capacity))
	}
	s.part = plan(own, needs, capacity)
}

// step moves the shares towards the wanted ones by at most rate a second.
func (s *shares) step(now time.Time, wanted map[string]float64, rate float64) {
	most := rate * min(now.Sub(s.at).Seconds(), 1)
	s.at = now
	distance := 0.0
	for _, region := range regionsOf(s.part, wanted) {
		distance += math.Abs(wanted[region]-s.part[region]) / 2
	}
	if distance == 0 {
		return
	}
	move := min(1, most/distance)
	next := make(map[string]float64)
	for _, region := range regionsOf(s.part, wanted) {
		part := s.part[region] + move*(wanted[region]-s.part[region])
		if part > 1e-6 {
			next[region] = part
		}
	}
	s.part = next
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

// accrue gives each region its part of one more request. Credit fades: objects divide
// unevenly between regions, and to make that good would send some of them by turns to
// targets that do not know them. Only quick changes are held back.
func (s *shares) accrue(now time.Time) {
	left := math.Exp(-now.Sub(s.accrued).Seconds() / creditTime.Seconds())
	s.accrued = now
	for region := range s.credit {
		s.credit[region] *= left
	}
	for region, part := range s.part {
		s.credit[region] += part
	}
}

// pick returns the region of one request. An object has its region as long as the
// shares permit: weighted rendezvous hashing moves as few objects as possible when
// shares change, and callers of all regions that have equal shares meet at the same
// warm target. A region that is behind its share by slack is served first, so that
// the shares hold in every few requests and not only on average.
func (s *shares) pick(r *Request, permitted func(region string) bool) (string, bool) {
	if r.HasObject {
		region, ok := s.favourite(r.Object, permitted)
		if ok && s.credit[region] > -slack {
			return region, true
		}
	}
	return s.next(permitted)
}

// slack is how many requests a region may be ahead of its share.
const slack = 4

// favourite is the region of an object.
func (s *shares) favourite(object uint64, permitted func(region string) bool) (string, bool) {
	best, lowest := "", math.Inf(1)
	for region, part := range s.part {
		if !permitted(region) {
			continue
		}
		u := (float64(draw(object, HashOf(region))>>11) + 0.5) / (1 << 53)
		if score := -math.Log(u) / part; score < lowest || (score == lowest && region < best) {
			best, lowest = region, score
		}
	}
	return best, best != ""
}

// next returns the permitted region with the most credit.
func (s *shares) next(permitted func(region string) bool) (string, bool) {
	best, found := "", false
	for region := range s.part {
		if !permitted(region) {
			continue
		}
		if !found || s.credit[region] > s.credit[best] || (s.credit[region] == s.credit[best] && region < best) {
			best, found = region, true
		}
	}
	return best, found
}

// maxCredit bounds what a region that could not be used saves up.
const maxCredit = 8

// spend counts a request that a region runs.
func (s *shares) spend(region string) {
	s.credit[region]--
	for r, c := range s.credit {
		s.credit[r] = min(max(c, -maxCredit), maxCredit)
	}
}
