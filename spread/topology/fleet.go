package topology

import (
	"cmp"
	"slices"
	"sort"
)

// fleet is a VM list indexed for the selection.
type fleet struct {
	members []Member
	// candidates holds the selectable VMs of each failure domain, best first.
	candidates map[string][]Member
	// failureDomains holds the failure domains of each region, sorted.
	failureDomains map[string][]string
	// regions is sorted.
	regions  []string
	watchers map[string][]Member
}

func newFleet(members []Member) *fleet {
	f := &fleet{
		members:        members,
		candidates:     map[string][]Member{},
		failureDomains: map[string][]string{},
		watchers:       map[string][]Member{},
	}
	for _, m := range members {
		if m.Leaving {
			continue
		}
		if _, ok := f.candidates[m.FailureDomain]; !ok {
			f.failureDomains[m.Region] = append(f.failureDomains[m.Region], m.FailureDomain)
		}
		f.candidates[m.FailureDomain] = append(f.candidates[m.FailureDomain], m)
	}
	for domain, ms := range f.candidates {
		rank("relay/"+domain, ms)
	}
	for region, failureDomains := range f.failureDomains {
		sort.Strings(failureDomains)
		f.regions = append(f.regions, region)
		f.watchers[region] = f.chooseWatchers(region)
	}
	sort.Strings(f.regions)
	return f
}

// rank sorts by rendezvous score for the task, best first.
func rank(task string, ms []Member) {
	type scoredMember struct {
		score  uint64
		member Member
	}
	list := make([]scoredMember, len(ms))
	for i, m := range ms {
		list[i] = scoredMember{score(task, m.VM), m}
	}
	slices.SortFunc(list, func(a, b scoredMember) int {
		if a.score != b.score {
			return cmp.Compare(b.score, a.score)
		}
		return cmp.Compare(a.member.VM, b.member.VM)
	})
	for i := range list {
		ms[i] = list[i].member
	}
}

// chooseWatchers selects the best VM of each failure domain, then the best of
// those. Only a region with a single failure domain has both watchers in it.
func (f *fleet) chooseWatchers(region string) []Member {
	var first, rest []Member
	for _, domain := range f.failureDomains[region] {
		ms := slices.Clone(f.candidates[domain])
		rank("watch/"+region, ms)
		first = append(first, ms[0])
		rest = append(rest, ms[1:]...)
	}
	rank("watch/"+region, first)
	rank("watch/"+region, rest)
	all := append(first, rest...)
	return all[:min(WatchersPerRegion, len(all))]
}

func (f *fleet) isWatcher(self Member) bool {
	return contains(f.watchers[self.Region], self.VM)
}

// level returns the level of self in its failure domain: relays are level 0,
// and each further level is FanOut times as wide. A VM that is not selectable
// is placed after the last one.
func (f *fleet) level(self Member) int {
	candidates := f.candidates[self.FailureDomain]
	at := slices.IndexFunc(candidates, func(m Member) bool { return m.VM == self.VM })
	if at < 0 {
		at = max(len(candidates), RelaysPerFailureDomain)
	}
	level, width := 0, RelaysPerFailureDomain
	for at >= width {
		at -= width
		width *= FanOut
		level++
	}
	return level
}

// atLevel returns the VMs of one level of a failure domain.
func (f *fleet) atLevel(domain string, level int) []Member {
	from, width := 0, RelaysPerFailureDomain
	for range level {
		from += width
		width *= FanOut
	}
	candidates := f.candidates[domain]
	from = min(from, len(candidates))
	return candidates[from:min(from+width, len(candidates))]
}

func contains(ms []Member, vm string) bool {
	return slices.ContainsFunc(ms, func(m Member) bool { return m.VM == vm })
}
