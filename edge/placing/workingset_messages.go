package placing

import (
	"cmp"
	"slices"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/workingset"
)

// WorkingSetLoads returns the load of the working sets for a report: of this VM, or of its region if sum
// is set. It is nil if there is none.
func (b *Balancer) WorkingSetLoads(now time.Time, sum bool) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	loads := b.ownLoads(now)
	if sum {
		loads = b.regionLoads(now, loads)
	}
	return workingset.EncodeLoads(loads)
}

// regionLoads sums up the loads of this VM and of the others of its region.
func (b *Balancer) regionLoads(now time.Time, own []workingset.RankLoad) (sums []workingset.RankLoad) {
	all := slices.Clone(own)
	for _, p := range b.sets.loads {
		if p.region == b.options.Region && now.Sub(p.at) < workingSetLoadTTL {
			all = append(all, p.loads...)
		}
	}
	slices.SortFunc(all, func(x, y workingset.RankLoad) int {
		return cmp.Or(cmp.Compare(x.Scope, y.Scope), cmp.Compare(x.Rank, y.Rank))
	})
	for _, l := range all {
		if n := len(sums); n > 0 && sums[n-1].Scope == l.Scope && sums[n-1].Rank == l.Rank {
			sums[n-1].Add(l.Load)
		} else {
			sums = append(sums, l)
		}
	}
	return sums
}

// WorkingSetArcs returns the arcs to send: those of this region, which its decider and its standby report,
// or of all regions, for a digest.
func (b *Balancer) WorkingSetArcs(now time.Time, allRegions bool) (arcs [][]byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for region, ring := range b.sets.rings {
		if !allRegions && (region != b.options.Region || b.sets.role == NoWorkingSetRole) {
			continue
		}
		if m, ok := ring.Message(now); ok {
			arcs = append(arcs, m.Encode())
		}
	}
	return arcs
}

// WorkingSetReport is what another VM tells of working sets.
type WorkingSetReport struct {
	// From is the VM, or the group of VMs, that the loads are of; Region is where it is.
	From, Region string
	Loads        []byte
	Arcs         [][]byte
}

// SetWorkingSetReport takes over what another VM tells. Parts that cannot be decoded are left out, and an
// error is returned.
func (b *Balancer) SetWorkingSetReport(now time.Time, r WorkingSetReport) error {
	if !b.options.Policy.WorkingSet {
		return nil
	}
	loads, failure := workingset.DecodeLoads(r.Loads)
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(loads) > 0 {
		b.sets.loads[r.From] = peerLoads{region: r.Region, at: now, loads: loads}
	}
	for _, data := range r.Arcs {
		m, err := workingset.DecodeMessage(data)
		if err != nil {
			failure = err
			continue
		}
		if b.isRegion(m.Region) {
			b.ring(now, m.Region).Accept(now, b.options.VM, m)
		}
	}
	return failure
}

// isRegion reports whether a region is configured.
func (b *Balancer) isRegion(region string) bool {
	for _, known := range b.options.RegionOf {
		if known == region {
			return true
		}
	}
	return false
}

// WorkingSet is this VM's view of the admitted keys of one service in one region.
type WorkingSet struct {
	Service, Region string
	Fractions       workingset.Fractions
	// Refused counts the requests that this VM has refused.
	Refused int
	// Decider is the VM that decided last.
	Decider string
	// Decided is zero unless this VM decides.
	Decided workingset.Decided
}

// WorkingSets returns the view of this VM of all scopes that have been limited or have had requests here.
func (b *Balancer) WorkingSets(now time.Time) (sets []WorkingSet) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for region, ring := range b.sets.rings {
		for _, s := range b.services {
			f := ring.Fractions(workingset.ScopeOf(s.Name, region))
			if s.scopes[region] == nil && !f.Limits() {
				continue
			}
			// Keeps a scope that was limited once, so that its end is seen too.
			c := b.scopeIn(now, s, region)
			w := WorkingSet{Service: s.Name, Region: region, Fractions: f, Refused: c.refused}
			w.Decider, _ = ring.Decider()
			if w.Decider == b.options.VM {
				w.Decided = c.decided
			}
			sets = append(sets, w)
		}
	}
	return sets
}
