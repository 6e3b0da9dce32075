package topology

import "slices"

// mates returns the other watchers of the own region.
func (f *fleet) mates(self Member) []Member {
	return without(f.watchers[self.Region], self.VM)
}

// neighbours returns watchers of the other regions in the order of a ring.
// The first watcher of a region goes round one way and the second the other,
// so that a region which can't be reached does not cut the ring.
func (f *fleet) neighbours(self Member) []Member {
	step := 1
	if !firstIs(f.watchers[self.Region], self.VM) {
		step = -1
	}
	return f.around(self, step)
}

// around returns the watchers of the other regions, nearest on the ring first.
func (f *fleet) around(self Member, step int) []Member {
	var out []Member
	n := len(f.regions)
	at := slices.Index(f.regions, self.Region)
	for i := 1; i <= n; i++ {
		region := f.regions[((at+i*step)%n+n)%n]
		if region == self.Region {
			continue
		}
		out = append(out, byPreference(self, f.watchers[region])...)
	}
	return out
}

// relayUpstreams returns the watchers, the own region's first. Relays follow
// nobody else: two relays that followed each other would hear heartbeats and
// equal digests for ever while no source feeds either.
func (f *fleet) relayUpstreams(self Member) []Member {
	own := byPreference(self, f.watchers[self.Region])
	return append(own, f.around(self, 1)...)
}

// leafUpstreams returns the level above, the relays of the place, one relay of
// each other place of the region, and the watchers. Each is nearer to the
// store than self, so no circle can form.
func (f *fleet) leafUpstreams(self Member, level int) []Member {
	const fromLevelAbove = 3
	above := byPreference(self, f.atLevel(self.FailureDomain, level-1))
	out := above[:min(fromLevelAbove, len(above))]
	out = appendNew(out, byPreference(self, f.atLevel(self.FailureDomain, 0)))
	var others []Member
	for _, place := range f.places[self.Region] {
		if place != self.FailureDomain {
			relays := byPreference(self, f.atLevel(place, 0))
			others = append(others, relays[:1]...)
		}
	}
	out = appendNew(out, byPreference(self, others))
	return appendNew(out, f.relayUpstreams(self))
}

// otherWatchers returns all watchers but self, the own region's first.
func (f *fleet) otherWatchers(self Member) []Member {
	return without(f.relayUpstreams(self), self.VM)
}

func (f *fleet) peers(self Member) []Member {
	return without(f.members, self.VM)
}

// byPreference returns a copy in the order self prefers. Each node has its own
// order, which divides the load among those chosen.
func byPreference(self Member, ms []Member) []Member {
	out := slices.Clone(ms)
	rank("follow/"+self.VM, out)
	return out
}

func without(ms []Member, vm string) []Member {
	out := make([]Member, 0, len(ms))
	for _, m := range ms {
		if m.VM != vm {
			out = append(out, m)
		}
	}
	return out
}

// appendNew appends those of more that are not in ms yet.
func appendNew(ms, more []Member) []Member {
	for _, m := range more {
		if !contains(ms, m.VM) {
			ms = append(ms, m)
		}
	}
	return ms
}

func firstIs(ms []Member, vm string) bool {
	return len(ms) > 0 && ms[0].VM == vm
}
