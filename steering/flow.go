package steering

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
)

// flow is the working state of one flow.
type flow struct {
	service int
	caller  model.RegionName
	// region is the index of the caller's region, or -1 for one without places.
	region int
	// demand includes the margins, in requests/s.
	demand float64
	// weight is the flow's part of the account's traffic, 0 to 1.
	weight float64
	// demandAge is the age of the measured demand. demandKnown is false without one.
	demandAge   time.Duration
	demandKnown bool
	// delayMS[region] is the round trip from the callers.
	delayMS []float64
	// previous and shares are indexed by place, in parts per million.
	previous, shares []uint32
	// isNew is set when the flow has no previous shares.
	isNew bool
	// movedInWindow is the share moved within the window, plus the charge for
	// lagging nodes. budget is the share that may still move in this decision.
	movedInWindow, budget int64
	// movedNow is the share moved by this decision.
	movedNow int64
	// causes[place] is the cause of the last change of its share.
	causes []Kind
}

func (f *flow) rps(share uint32) float64 {
	return f.demand * float64(share) / plan.Whole
}

// frozen reports whether the demand is too old, or unknown, for any increase. A
// new flow is never frozen, since its callers would get no answer.
func (f *flow) frozen() bool {
	return !f.isNew && (!f.demandKnown || f.demandAge >= FreezeAge)
}

// addFlows adds a flow for each service and caller region.
func (s *solver) addFlows() {
	callers := callerRegions(s.account)
	count := len(s.account.Services) * len(callers)
	shares := make([]uint32, 2*count*len(s.places))
	causes := make([]Kind, count*len(s.places))
	take := func() []uint32 {
		row := shares[:len(s.places):len(s.places)]
		shares = shares[len(s.places):]
		return row
	}
	s.flows = make([]flow, 0, count)
	for _, caller := range callers {
		delays := s.delaysFrom(caller)
		for i := range s.account.Services {
			f := flow{service: i, caller: caller, region: s.regionIndex(caller), delayMS: delays}
			f.previous, f.shares = take(), take()
			f.causes, causes = causes[:len(s.places)], causes[len(s.places):]
			s.readPrevious(&f)
			s.flows = append(s.flows, f)
		}
	}
	s.readDemand()
}

// callerRegions lists the regions of callers: those of the account, then those
// that only appear in caller blocks or caller regions.
func callerRegions(account *model.Account) []model.RegionName {
	var names []model.RegionName
	seen := make(map[model.RegionName]bool)
	add := func(name model.RegionName) {
		if !seen[name] {
			seen[name] = true
			names = append(names, name)
		}
	}
	for i := range account.Regions {
		add(account.Regions[i].Name)
	}
	for i := range account.Callers {
		add(account.Callers[i].Region)
	}
	for _, name := range account.CallerRegions {
		add(name)
	}
	return names
}

// delaysFrom returns the round trips from a region to all regions, in ms.
func (s *solver) delaysFrom(caller model.RegionName) []float64 {
	delays := make([]float64, len(s.regions))
	for i := range s.regions {
		delays[i] = 2 * milliseconds(oneWay(s.account, caller, s.regions[i].name))
	}
	return delays
}

func oneWay(account *model.Account, from, to model.RegionName) time.Duration {
	if from == to {
		return 0
	}
	if d, ok := configuredDelay(account.Region(from), to); ok {
		return d
	}
	if d, ok := configuredDelay(account.Region(to), from); ok {
		return d
	}
	return defaultOneWay
}

func configuredDelay(region *model.Region, to model.RegionName) (time.Duration, bool) {
	if region == nil {
		return 0, false
	}
	for _, d := range region.Delays {
		if d.To == to {
			return d.OneWay, true
		}
	}
	return 0, false
}

func (s *solver) readPrevious(f *flow) {
	f.isNew = true
	if s.in.Previous == nil {
		return
	}
	old := s.in.Previous.Flow(s.account.Services[f.service].Name, f.caller)
	if old == nil || len(old.Shares) == 0 {
		return
	}
	f.isNew = false
	for _, share := range old.Shares {
		f.previous[s.placeIndex[share.Place]] += share.PPM
	}
	copy(f.shares, f.previous)
}
