package regionplan

import "math"

const (
	// moveWeight is the preference of another region over that of the callers. At 0.001 a plan moves
	// some thousandths more than necessary.
	moveWeight = 0.001
	// minSpare is the smallest fraction of a region's limit that counts as spare: requests may move to
	// a full region from which others move on.
	minSpare = 0.01
	// maxRounds bounds the iteration of balance, which ends when no region's price changes by more than
	// priceTolerance. The loads then exceed the limits by that fraction at most. With 100 rounds a
	// load exceeded its limit by 5 % in one of 4093 draws of TestNoRegionIsOverfullWhileAPlanExists.
	maxRounds      = 300
	priceTolerance = 1e-3
	// minFraction is the smallest fraction that balance plans; smaller ones only cause cold runs.
	minFraction = 0.005
)

// level is the part of a problem whose regions have the same utilization.
type level struct {
	set Set
	// limit is how many slots of each region may be used.
	limit []float64
	// home and away are how much each region is preferred by its own callers and by those of others.
	home, away []float64
	rows       []*row
}

// fill plans the sources that can use no region of those left but the ones of a set.
func (p *problem) fill(set, left Set, utilization float64) {
	n := len(p.capacity)
	l := level{set: set, limit: make([]float64, n), home: make([]float64, n), away: make([]float64, n)}
	for region, slots := range p.capacity {
		if set.Has(region) {
			limit := utilization * slots
			l.limit[region], l.home[region] = limit, max(1, limit)
			l.away[region] = moveWeight * max(limit-p.own[region], minSpare*limit, minDemand)
		}
	}
	uniform := true
	for _, r := range p.rows {
		if r.settled || !(r.usable & left).Within(set) {
			continue
		}
		r.settled = true
		lost := r.usable &^ left
		r.usable &= left
		if r.usable.Size() == 1 {
			l.assignOnly(r)
			// own does not have its demand, so spread would divide by other spare slots than balance.
			uniform = uniform && lost == 0
			continue
		}
		l.rows = append(l.rows, r)
		uniform = uniform && r.usable == set
	}
	if uniform {
		l.spread()
		return
	}
	l.balance()
}

// assignOnly plans a source that can use a single region.
func (l *level) assignOnly(r *row) {
	for region := range l.limit {
		if r.usable.Has(region) {
			r.fraction[region] = 1
			l.limit[region] = max(0, l.limit[region]-r.demand)
		}
	}
}

// homeDemand returns the demand of the callers of each region, in slots, that may run there.
func (l *level) homeDemand() []float64 {
	home := make([]float64, len(l.limit))
	for _, r := range l.rows {
		if r.usable.Has(r.Region) {
			home[r.Region] += r.demand
		}
	}
	return home
}

// spread plans sources that may use all regions of the level: what exceeds the limit of their own
// region is divided over the others by what is spare there.
func (l *level) spread() {
	home := l.homeDemand()
	spare, totalSpare, totalExcess := l.spare(home), 0.0, 0.0
	for region, slots := range home {
		totalSpare += spare[region]
		totalExcess += max(0, slots-l.limit[region])
	}
	for _, r := range l.rows {
		if !r.usable.Has(r.Region) {
			totalExcess += r.demand
		}
	}
	for _, r := range l.rows {
		moved := 1.0
		if r.usable.Has(r.Region) {
			excess := max(0, home[r.Region]-l.limit[r.Region])
			moved = excess / home[r.Region] * min(1, totalSpare/max(totalExcess, minDemand))
			r.fraction[r.Region] = 1 - moved
		}
		l.move(r, moved, spare, totalSpare)
	}
}

// move divides a fraction of a source over the regions by what is spare there, or evenly.
func (l *level) move(r *row, moved float64, spare []float64, totalSpare float64) {
	for region := range l.limit {
		switch {
		case !l.set.Has(region):
		case totalSpare > 0:
			r.fraction[region] += moved * spare[region] / totalSpare
		default:
			r.fraction[region] += moved / float64(l.set.Size())
		}
	}
}

// spare returns the slots of each region that its own callers leave.
func (l *level) spare(home []float64) []float64 {
	spare := make([]float64, len(l.limit))
	for region := range spare {
		if l.set.Has(region) {
			spare[region] = max(0, l.limit[region]-home[region])
		}
	}
	return spare
}

// balance plans sources that may use different regions of the level. It starts with the preference of
// each source for its own region and multiplies it by a price of each region, at most 1, until no
// region is above its limit (iterative proportional fitting). The result changes gradually with demand,
// which a vertex of the linear program does not.
func (l *level) balance() {
	if l.stayHome() {
		return
	}
	l.prefer()
	price, load := make([]float64, len(l.limit)), make([]float64, len(l.limit))
	for region := range price {
		price[region] = 1
	}
	for range maxRounds {
		clear(load)
		for _, r := range l.rows {
			share := r.demand / r.priced(price)
			for region, preference := range r.fraction {
				load[region] += share * preference
			}
		}
		if l.adjust(price, load) < priceTolerance {
			break
		}
	}
	for _, r := range l.rows {
		r.apply(price)
	}
}

// stayHome plans all sources in their own regions if the limits allow that.
func (l *level) stayHome() bool {
	for _, r := range l.rows {
		if !r.usable.Has(r.Region) {
			return false
		}
	}
	for region, slots := range l.homeDemand() {
		if slots > l.limit[region] {
			return false
		}
	}
	for _, r := range l.rows {
		r.fraction[r.Region] = 1
	}
	return true
}

// prefer sets the fractions of each source to its preferences. They depend on no other level, so that the
// plan stays the same where the regions of this level join another one.
func (l *level) prefer() {
	for _, r := range l.rows {
		for region, preference := range l.away {
			if r.usable.Has(region) {
				r.fraction[region] = preference
			}
		}
		if r.usable.Has(r.Region) {
			r.fraction[r.Region] = l.home[r.Region]
		}
	}
}

// adjust sets the prices at which loads meet the limits, and returns the largest relative change.
func (l *level) adjust(price, load []float64) float64 {
	change := 0.0
	for region, limit := range l.limit {
		if load[region] <= 0 {
			continue
		}
		next := min(1, max(limit, minDemand)/load[region])
		change = max(change, math.Abs(next/price[region]-1))
		price[region] = next
	}
	return change
}

func (r *row) priced(price []float64) float64 {
	total := 0.0
	for region, preference := range r.fraction {
		total += preference * price[region]
	}
	return total
}

// apply turns the preferences of a source into fractions.
func (r *row) apply(price []float64) {
	all, kept := r.priced(price), 0.0
	for region := range r.fraction {
		r.fraction[region] *= price[region] / all
		if r.fraction[region] < minFraction {
			r.fraction[region] = 0
		}
		kept += r.fraction[region]
	}
	for region := range r.fraction {
		r.fraction[region] /= kept
	}
}
