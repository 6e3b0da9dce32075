package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
)

// Dimensions of the benchmark account; a place is a failure domain.
const (
	benchRegions  = 6
	benchPlaces   = 17
	benchServices = 2
)

var benchNodes = []int{10, 50, 150, 550}

func benchAccount() *model.Account {
	a := &model.Account{Name: "bench", Revision: 1, Moves: model.MoveLimits{Share: 0.1, Window: time.Minute}}
	for r := range benchRegions {
		a.Regions = append(a.Regions, model.Region{Name: regionName(r), CapacityRPS: 200_000, LinkInRPS: 100_000})
	}
	for p := range benchPlaces {
		a.Places = append(a.Places, model.Place{Name: placeName(p), Region: regionName(p % benchRegions)})
	}
	for s := range benchServices {
		service := model.Service{Name: model.ServiceName(fmt.Sprintf("service-%d", s))}
		for p := range benchPlaces {
			service.Capacity = append(service.Capacity, model.PlaceCapacity{Place: placeName(p), RPS: 30_000})
		}
		a.Services = append(a.Services, service)
	}
	return a
}

func regionName(r int) model.RegionName { return model.RegionName(fmt.Sprintf("region-%d", r)) }
func placeName(p int) model.PlaceName   { return model.PlaceName(fmt.Sprintf("place-%02d", p)) }

// newFullLedger returns a ledger in which every node holds a grant for every key.
func newFullLedger(nodes int) (*Ledger, []Node) {
	l := New(DefaultParams(), 1, NewLimits(benchAccount()))
	l.Rewrite(start)
	l.ConfirmWrite()
	var all []Node
	for i := range nodes {
		n := Node{
			ID:           grant.NodeID{VM: fmt.Sprintf("entry-%04d", i), Incarnation: uint64(i) << 40},
			Region:       regionName(i % benchRegions),
			Address:      fmt.Sprintf("10.0.%d.%d:7100", i/250, i%250),
			ListSequence: 1,
		}
		all = append(all, n)
		l.RecordContact(n, start)
		w := make([]Amounts, len(l.Keys()))
		for k := range w {
			w[k] = Amounts{Floor: AmountFromRPS(14_000 / float64(nodes)), Surplus: AmountFromRPS(6_000 / float64(nodes))}
		}
		l.SetWanted(n.ID, w)
	}
	l.Propose(start)
	l.ConfirmWrite()
	for _, n := range all {
		l.Issue(n.ID, start)
	}
	return l, all
}

// BenchmarkProposeSteady measures a step in which nothing changes.
func BenchmarkProposeSteady(b *testing.B) {
	for _, nodes := range benchNodes {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			l, _ := newFullLedger(nodes)
			b.ReportAllocs()
			for b.Loop() {
				if l.Propose(start) != nil {
					b.Fatal("proposed a write in the steady state")
				}
			}
		})
	}
}

// BenchmarkProposeFailure measures a step that changes every grant and writes the
// ledger.
func BenchmarkProposeFailure(b *testing.B) {
	for _, nodes := range benchNodes {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			l, all := newFullLedger(nodes)
			b.ReportAllocs()
			extra := grant.Amount(0)
			for b.Loop() {
				extra = 1 - extra
				changeAllGrants(l, all, extra)
				if l.Propose(start) != nil {
					l.ConfirmWrite()
				}
			}
			b.ReportMetric(float64(l.RecordSize()), "ledger-bytes")
		})
	}
}

func changeAllGrants(l *Ledger, all []Node, extra grant.Amount) {
	w := make([]Amounts, len(l.Keys()))
	for k := range w {
		w[k] = Amounts{Floor: 1000, Surplus: 1000 + extra}
	}
	for _, n := range all {
		h := l.nodes[n.ID]
		clear(h.reserved)
		l.SetWanted(n.ID, w)
	}
}

// BenchmarkIssue measures issuing one set.
func BenchmarkIssue(b *testing.B) {
	l, all := newFullLedger(550)
	b.ReportAllocs()
	for b.Loop() {
		l.Issue(all[0].ID, start)
	}
}

// The record must fit a store value with headroom: if the ledger cannot be written,
// no grant can be raised.
func TestRecordFitsStoreValue(t *testing.T) {
	const limit = 1 << 20
	for _, nodes := range benchNodes {
		l, _ := newFullLedger(nodes)
		perEntry := float64(l.RecordSize()) / float64(nodes*len(l.Keys()))
		t.Logf("%d nodes, %d keys: %d bytes, %.1f per node and key", nodes, len(l.Keys()), l.RecordSize(), perEntry)
		if l.RecordSize() > limit/4 {
			t.Errorf("record of %d nodes has %d bytes", nodes, l.RecordSize())
		}
	}
}
