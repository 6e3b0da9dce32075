package steering

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
)

// flow is one flow in the making.
type flow struct {
	service int
	caller  model.RegionName
	// region is the index of the caller's region, -1 for one without places.
	region int
	// demand includes the margins, requests/s.
	demand float64
	// weight is the flow's part of the account's traffic, 0 to 1.
	weight float64
	// age is that of the demand; known is false without one.
	age   time.Duration
	known bool
	// delayMS[region] is the round trip from the callers.
	delayMS []float64
	// before and shares are indexed by place, parts per million.
	before, shares []uint32
	// fresh tells that the flow has no previous shares: all of it is placed.
	fresh bool
	// moved is what moved within the window, with what is charged for nodes
	// out of step, and budget what may still move in this decision.
	moved, budget int64
	// spent is what this decision moved.
	spent int64
	// causes[place] is why its share changed.
	causes []Kind
}

func (f *flow) rps(share uint32) float64 {
	return f.demand * float64(share) / plan.Whole
}

// frozen reports a flow whose demand is too old, or was never known, for any
// increase. A flow that has no shares yet is placed all the same: its callers
// would get no answer at all.
func (f *flow) frozen() bool {
	return !f.fresh && (!f.known || f.age >= FreezeAge)
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
			f.before, f.shares = take(), take()
			f.causes, causes = causes[:len(s.places)], causes[len(s.places):]
			s.readPrevious(&f)
			s.flows = append(s.flows, f)
		}
	}
	s.readDemand()
}

// callerRegions lists the regions callers are in: those of the account, then
// others that only caller blocks name.
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
	f.fresh = true
	if s.in.Previous == nil {
		return
	}
	old := s.in.Previous.Flow(s.account.Services[f.service].Name, f.caller)
	if old == nil || len(old.Shares) == 0 {
		return
	}
	f.fresh = false
	for _, share := range old.Shares {
		f.before[s.index[share.Place]] += share.PPM
	}
	copy(f.shares, f.before)
}
