package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/observe"
	"github.com/yuccaroute/yuccaroute/api/plan"
	"github.com/yuccaroute/yuccaroute/control/decider"
)

const (
	benchFlows  = 12
	benchPlaces = 17
)

// benchPlan differs a little from that of the next sequence.
func benchPlan(sequence uint64) *plan.Plan {
	p := &plan.Plan{Epoch: 1, Sequence: sequence}
	for i := range benchFlows {
		f := plan.Flow{Service: "desk", Caller: model.RegionName(fmt.Sprint("region-", i))}
		moved := uint32(sequence % 2 * 1000)
		for place := range benchPlaces {
			ppm := uint32(plan.Whole/benchPlaces) + moved
			f.Shares = append(f.Shares, plan.Share{Place: model.PlaceName(fmt.Sprintf("place-%02d", place)), PPM: ppm})
			moved = -moved
		}
		p.Flows = append(p.Flows, f)
	}
	return p
}

// BenchmarkPositions reads the reports of a second after 300 plans, with no
// node or a tenth of them still at the first.
func BenchmarkPositions(b *testing.B) {
	for _, nodes := range []int{10, 550} {
		for _, lagging := range []int{0, nodes / 10} {
			b.Run(fmt.Sprintf("nodes=%d/lagging=%d", nodes, lagging), func(b *testing.B) {
				benchPositions(b, nodes, lagging)
			})
		}
	}
}

func benchPositions(b *testing.B, nodes, lagging int) {
	p := newPositions()
	s := &decider.PlannerInput{
		Account: &model.Account{
			Services: []model.Service{{Name: "desk"}},
			Moves:    model.MoveLimits{Share: 0.1, Window: 30 * time.Second},
		},
		PermittedRPS: func(grant.NodeID, model.ServiceName) float64 { return 100 },
		Now:          start,
		TermStart:    start,
	}
	for n := range nodes {
		r := observe.Report{Node: grant.NodeID{VM: fmt.Sprint(n)}, PlanEpoch: 1, PlanSequence: 1}
		r.Flows = []observe.FlowDemand{{Service: "desk", Caller: model.RegionName(fmt.Sprint("region-", n%benchFlows)), OfferedRPS: 100}}
		s.Reports = append(s.Reports, decider.NodeReport{Report: r, Age: time.Second})
	}
	second := func() {
		s.Now = s.Now.Add(time.Second)
		for n := lagging; n < nodes; n++ {
			s.Reports[n].Report.PlanSequence = s.Previous.Sequence
		}
		p.read(s)
	}
	for sequence := range uint64(300) {
		s.Previous = benchPlan(sequence + 1)
		second()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		second()
	}
}
