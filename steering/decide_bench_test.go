package steering

import (
	"fmt"
	"testing"
	"time"
)

// benchRegions is the number of regions in the benchmark accounts.
const benchRegions = 6

// BenchmarkDecide measures a decision without moves, the usual case.
func BenchmarkDecide(b *testing.B) {
	eachSize(b, func(b *testing.B, in Input) { benchmarkDecide(b, in) })
}

// BenchmarkDecideFailure measures the first decision after a place failed, in
// which each flow that used the place moves a full cap.
func BenchmarkDecideFailure(b *testing.B) {
	eachSize(b, func(b *testing.B, in Input) {
		in.Account.Moves.Share = 0.5
		for i := range in.Places {
			if in.Places[i].Place == in.Account.Places[0].Name {
				in.Places[i].Usable = 0
			}
		}
		benchmarkDecide(b, in)
	})
}

func eachSize(b *testing.B, run func(*testing.B, Input)) {
	for _, places := range []int{6, 20, 60, 160} {
		for _, services := range []int{1, 2, 4} {
			b.Run(fmt.Sprintf("places=%d/services=%d", places, services), func(b *testing.B) {
				run(b, steadyState(places, services))
			})
		}
	}
}

// steadyState returns the input of an account in its steady state, with recent
// moves.
func steadyState(places, services int) Input {
	a := newAccount(benchRegions, (places+benchRegions-1)/benchRegions, services)
	a.Places = a.Places[:places]
	in := newInput(a, 0.5)
	in.Previous = Decide(in).Plan
	for i := range 64 {
		in.RecentMoves = append(in.RecentMoves, Move{
			Service: a.Services[i%services].Name,
			Caller:  a.Regions[i%benchRegions].Name,
			Place:   a.Places[i%places].Name,
			Delta:   100,
			Cause:   KindLatency,
			Age:     time.Hour,
		})
	}
	return in
}

func benchmarkDecide(b *testing.B, in Input) {
	b.ReportAllocs()
	for b.Loop() {
		Decide(in)
	}
}
