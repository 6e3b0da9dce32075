package exchange

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/yuccaroute/yuccaroute/edge/workingset"
)

// What VMs tell of working sets must stay small, as each VM may spend 3 KB a second on control traffic. The
// sizes are in docs/CAPACITY.md. They depend on the services and ranks in use, not on the number of VMs, as
// aggregators send sums.
func TestBytesOfWorkingSets(t *testing.T) {
	for _, c := range []struct {
		services, ranks int
		// maxLoad and maxArcs are in bytes, of a report and for one region in a digest.
		maxLoad, maxArcs int
	}{
		{1, 1, 25, 60}, {1, 3, 60, 75}, {4, 3, 230, 135}, {4, workingset.Ranks, 1200, 500},
	} {
		var loads []workingset.RankLoad
		m := workingset.Message{Region: "region-longer", Decider: "vm-region-longer-17", Number: 100_000, Scopes: make(map[workingset.ScopeID]workingset.Fractions)}
		for i := range c.services {
			scope, f := workingset.ScopeOf(fmt.Sprint("service-", i), m.Region), workingset.AllAdmitted()
			for rank := range c.ranks {
				loads = append(loads, workingset.RankLoad{Scope: scope, Rank: rank, Load: workingset.Load{
					Arrivals: 1500, Answered: 300, Busy: 150 * time.Second, Shortest: 450 * time.Millisecond, InFlight: 300,
				}})
				f[rank] = 0.1
			}
			m.Scopes[scope] = f
		}
		none := sizeOf(t, &State{Digest: &Digest{}})
		load := sizeOf(t, &State{Digest: &Digest{}, WorkingLoad: workingset.EncodeLoads(loads)}) - none
		arcs := sizeOf(t, &State{Digest: &Digest{Arcs: [][]byte{m.Encode()}}}) - none
		t.Logf("%d services, %d ranks: load %d bytes, arcs of a region %d bytes", c.services, c.ranks, load, arcs)
		if load > c.maxLoad || arcs > c.maxArcs {
			t.Errorf("%d services, %d ranks: load %d bytes, arcs %d bytes", c.services, c.ranks, load, arcs)
		}
	}
}

func sizeOf(t *testing.T, s *State) int {
	t.Helper()
	data, err := msgpack.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	return len(data)
}
