package topology

import (
	"cmp"
	"slices"
	"sort"
)

// fleet is a list prepared for the choice.
type fleet struct {
	members []Member
	// ranked holds the VMs of each place that may be given a task, best first.
	ranked map[string][]Member
	// places holds the places of each region, sorted.
	places map[string][]string
	// regions is sorted.
	regions  []string
	watchers map[string][]Member
}

func newFleet(members []Member) *fleet {
	f := &fleet{
		members:  members,
		ranked:   map[string][]Member{},
		places:   map[string][]string{},
		watchers: map[string][]Member{},
	}
	for _, m := range members {
		if m.Leaving {
			continue
		}
		if _, ok := f.ranked[m.FailureDomain]; !ok {
			f.places[m.Region] = append(f.places[m.Region], m.FailureDomain)
		}
		f.ranked[m.FailureDomain] = append(f.ranked[m.FailureDomain], m)
	}
	for place, ms := range f.ranked {
		rank("relay/"+place, ms)
	}
	for region, places := range f.places {
		sort.Strings(places)
		f.regions = append(f.regions, region)
		f.watchers[region] = f.chooseWatchers(region)
	}
	sort.Strings(f.regions)
	return f
}

// rank sorts by rendezvous score for the task, best first.
func rank(task string, ms []Member) {
	type scored struct {
		score  uint64
		member Member
	}
	list := make([]scored, len(ms))
	for i, m := range ms {
		list[i] = scored{score(task, m.VM), m}
	}
	slices.SortFunc(list, func(a, b scored) int {
		if a.score != b.score {
			return cmp.Compare(b.score, a.score)
		}
		return cmp.Compare(a.member.VM, b.member.VM)
	})
	for i := range list {
		ms[i] = list[i].member
	}
}

// chooseWatchers takes the best VM of each place, then the best of those. Two
// watchers in one failure domain would go out together; only a region with a
// single failure domain has both there.
func (f *fleet) chooseWatchers(region string) []Member {
	var first, rest []Member
	for _, place := range f.places[region] {
		ms := slices.Clone(f.ranked[place])
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

// level returns the level of self in its place: the relays are 0, each level
// below is FanOut times as wide. A VM without a task is one below the last.
func (f *fleet) level(self Member) int {
	ranked := f.ranked[self.FailureDomain]
	at := slices.IndexFunc(ranked, func(m Member) bool { return m.VM == self.VM })
	if at < 0 {
		at = max(len(ranked), RelaysPerFailureDomain)
	}
	level, width := 0, RelaysPerFailureDomain
	for at >= width {
		at -= width
		width *= FanOut
		level++
	}
	return level
}

// atLevel returns the VMs of one level of a place.
func (f *fleet) atLevel(place string, level int) []Member {
	from, width := 0, RelaysPerFailureDomain
	for range level {
		from += width
		width *= FanOut
	}
	ranked := f.ranked[place]
	from = min(from, len(ranked))
	return ranked[from:min(from+width, len(ranked))]
}

func contains(ms []Member, vm string) bool {
	return slices.ContainsFunc(ms, func(m Member) bool { return m.VM == vm })
}
