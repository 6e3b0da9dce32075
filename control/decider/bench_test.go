package decider

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/control/allocate"
	"github.com/yuccaroute/yuccaroute/control/ledger"
	"github.com/yuccaroute/yuccaroute/store"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var benchNodes = []int{10, 50, 150, 550}

// The target's sizes: 6 regions with 17 failure domains and two services.
func benchAccount() *model.Account {
	a := &model.Account{Name: "bench", Revision: 1, Moves: model.MoveLimits{Share: 0.1, Window: time.Minute}}
	for r := range 6 {
		a.Regions = append(a.Regions, model.Region{Name: benchRegion(r), CapacityRPS: 200_000, LinkInRPS: 100_000})
	}
	for p := range 17 {
		a.Places = append(a.Places, model.Place{Name: benchPlace(p), Region: benchRegion(p)})
	}
	for s := range 2 {
		service := model.Service{Name: model.ServiceName(fmt.Sprintf("service-%d", s))}
		for p := range 17 {
			service.Capacity = append(service.Capacity, model.PlaceCapacity{Place: benchPlace(p), RPS: 30_000})
		}
		a.Services = append(a.Services, service)
	}
	return a
}

func benchRegion(i int) model.RegionName { return model.RegionName(fmt.Sprintf("region-%d", i%6)) }
func benchPlace(i int) model.PlaceName   { return model.PlaceName(fmt.Sprintf("place-%02d", i)) }

// term is a decider in office over a fleet with steady demand.
type term struct {
	core     *Core
	account  *model.Account
	requests []*peerpb.RenewRequest
	now      time.Time
}

func newTerm(tb testing.TB, nodes int) *term {
	t := &term{account: benchAccount(), now: start}
	options := Options{
		Ledger:           ledger.DefaultParams(),
		Allocate:         allocate.DefaultParams(),
		Planner:          Nearest{},
		ReportsPerSecond: DefaultReportsPerSecond,
	}
	core, err := NewCore(options, t.account, 1, store.Entry{}, start)
	if err != nil {
		tb.Fatal(err)
	}
	t.core = core
	var list []ledger.Listed
	for i := range nodes {
		t.requests = append(t.requests, t.request(i))
		list = append(list, ledger.Listed{VM: t.requests[i].Node.Vm, Address: t.requests[i].Node.PeerAddress})
	}
	for range 10 {
		t.step()
		core.ObserveVMs(list, 1, t.now)
		for _, r := range t.requests {
			t.renew(r)
		}
	}
	return t
}

func (t *term) request(i int) *peerpb.RenewRequest {
	r := &peerpb.RenewRequest{
		Node: &peerpb.NodeRef{
			Vm:          fmt.Sprintf("entry-%04d", i),
			Incarnation: uint64(i+1) << 40,
			PeerAddress: fmt.Sprintf("10.0.%d.%d:7100", i/250, i%250),
			Region:      string(benchRegion(i)),
			Place:       string(benchPlace(i % 17)),
		},
		Account:    "bench",
		IntervalMs: 1000,
	}
	for _, s := range t.account.Services {
		r.Flows = append(r.Flows, &peerpb.FlowDemand{Service: string(s.Name), Caller: r.Node.Region, OfferedRps: 100})
		for _, c := range s.Capacity {
			r.Places = append(r.Places, &peerpb.PlaceLoad{Service: string(s.Name), Place: string(c.Place), SentRps: 6, P50Us: 4000, P99Us: 20000, Targets: 16, Known: 16})
		}
	}
	return r
}

// step makes the decisions of a second and settles their write.
func (t *term) step() bool {
	t.now = t.now.Add(time.Second)
	w, due := t.core.Step(t.account, t.now)
	if due {
		_ = t.core.Settle(w.Expected+1, nil)
	}
	return due
}

func (t *term) renew(r *peerpb.RenewRequest) *peerpb.RenewResponse {
	response := t.core.Renew(r, t.now)
	if response.Code == uint32(result.OK) {
		r.AppliedEpoch, r.AppliedSequence = response.Epoch, response.Sequence
	}
	return response
}

// BenchmarkStep is the decider's work of one second, the reports not counted,
// while nothing changes.
func BenchmarkStep(b *testing.B) {
	for _, nodes := range benchNodes {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			t := newTerm(b, nodes)
			b.ReportAllocs()
			for b.Loop() {
				t.core.Step(t.account, t.now)
			}
		})
	}
}

// BenchmarkRenew is the decider's work for one report.
func BenchmarkRenew(b *testing.B) {
	for _, nodes := range benchNodes {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			t := newTerm(b, nodes)
			b.ReportAllocs()
			for b.Loop() {
				t.renew(t.requests[0])
			}
		})
	}
}

// A decider must take no more reports a second than it is set for: with more
// nodes, each reports less often.
func TestReportsOfALargeFleetAreSpread(t *testing.T) {
	for _, nodes := range benchNodes {
		fleet := newTerm(t, nodes)
		steady := fleet.renew(fleet.requests[0])
		if !steady.Unchanged {
			t.Errorf("%d nodes: a steady answer carries grants", nodes)
		}
		perSecond := float64(nodes) / (float64(steady.NextMs) / 1000)
		if perSecond > DefaultReportsPerSecond+1 {
			t.Errorf("%d nodes report %.0f times a second", nodes, perSecond)
		}
		if fleet.step() {
			t.Errorf("%d nodes: a steady second wrote", nodes)
		}
		whole, answer := proto.Size(fleet.requests[0]), proto.Size(steady)
		fleet.requests[0].Places = nil
		fleet.requests[0].PlacesSame = true
		brief := proto.Size(fleet.requests[0])
		// A steady node names its places in one report of four.
		each := float64(whole+3*brief)/4 + float64(answer)
		t.Logf("%d nodes, 34 keys: every %d ms a report of %d or %d bytes, answer %d: %.0f bytes/s a node, %.0f at the decider",
			nodes, steady.NextMs, whole, brief, answer, each*1000/float64(steady.NextMs), each*perSecond)
	}
}
