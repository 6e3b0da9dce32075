package topology

import "slices"

// sameRegionWatchers returns the other watchers of the same region.
func (f *fleet) sameRegionWatchers(self Member) []Member {
	return without(f.watchers[self.Region], self.VM)
}

// remoteWatchers returns the watchers of the other regions in ring order. The
// two watchers of a region use opposite directions, so that an unreachable
// region does not break the ring.
func (f *fleet) remoteWatchers(self Member) []Member {
	step := 1
	if !firstIs(f.watchers[self.Region], self.VM) {
		step = -1
	}
	return f.ringWatchers(self, step)
}

// ringWatchers returns the watchers of the other regions, nearest on the ring
// first.
func (f *fleet) ringWatchers(self Member, step int) []Member {
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

// relayUpstreams returns the watchers, those of the same region first. Relays
// do not subscribe to other relays: two that followed each other would exchange
// heartbeats with equal digests without any source.
func (f *fleet) relayUpstreams(self Member) []Member {
	own := byPreference(self, f.watchers[self.Region])
	return append(own, f.ringWatchers(self, 1)...)
}

// leafUpstreams returns nodes of the level above, the relays of the failure
// domain, one relay of each other failure domain of the region, and the
// watchers. Each is closer to the store than self, so no cycle can form.
func (f *fleet) leafUpstreams(self Member, level int) []Member {
	const fromLevelAbove = 3
	above := byPreference(self, f.atLevel(self.FailureDomain, level-1))
	out := above[:min(fromLevelAbove, len(above))]
	out = appendNew(out, byPreference(self, f.atLevel(self.FailureDomain, 0)))
	var others []Member
	for _, domain := range f.failureDomains[self.Region] {
		if domain != self.FailureDomain {
			relays := byPreference(self, f.atLevel(domain, 0))
			others = append(others, relays[:1]...)
		}
	}
	out = appendNew(out, byPreference(self, others))
	return appendNew(out, f.relayUpstreams(self))
}

// otherWatchers returns all watchers except self, those of the same region
// first.
func (f *fleet) otherWatchers(self Member) []Member {
	return without(f.relayUpstreams(self), self.VM)
}

func (f *fleet) peers(self Member) []Member {
	return without(f.members, self.VM)
}

// byPreference returns a copy in the order preferred by self. The order differs
// between nodes, which distributes the load.
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

// appendNew appends the members of more that ms does not contain.
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
