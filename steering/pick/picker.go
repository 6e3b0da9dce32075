// Package pick chooses a place by the shares of one flow. A Picker serves
// single requests; ForBlock gives a whole block of client addresses one place
// that every node computes alike from the shares alone.
package pick

import (
	"sync/atomic"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
)

// goldenStep is 2^64 divided by the golden ratio, made odd. Its multiples
// modulo 2^64 are a low-discrepancy sequence: any run of n of them falls into
// an interval of length x close to n*x times, so that short runs follow the
// shares too.
const goldenStep = 0x9E3779B97F4A7C15

// Picker spreads requests over the places of one flow. It is safe for use by
// many goroutines, takes no lock and does not allocate.
type Picker struct {
	places []model.PlaceName
	// upper[i] is the end, exclusive, of the interval of places[i].
	upper []uint32
	// flow is what the picker was built from.
	flow *plan.Flow
	// count is shared by the pickers that follow each other for one flow.
	count *atomic.Uint64
}

// New returns a picker for the flow that continues the sequence of previous, the
// picker of the same flow under the last plan, or starts one when previous is
// nil. Restarting the sequence with each plan would skew the shares when plans
// change every few requests. Places with no share are never chosen.
func New(previous *Picker, flow *plan.Flow) *Picker {
	if previous != nil && previous.flow == flow {
		return previous
	}
	p := &Picker{flow: flow, count: counterOf(previous)}
	if flow == nil {
		return p
	}
	sum := uint32(0)
	for _, s := range flow.Shares {
		if s.PPM == 0 {
			continue
		}
		sum += s.PPM
		p.places = append(p.places, s.Place)
		p.upper = append(p.upper, sum)
	}
	return p
}

func counterOf(previous *Picker) *atomic.Uint64 {
	if previous != nil {
		return previous.count
	}
	return new(atomic.Uint64)
}

// Next returns the place for the next request, or "" when the flow has no
// share anywhere.
func (p *Picker) Next() model.PlaceName {
	last := len(p.upper) - 1
	if last < 0 {
		return ""
	}
	point := p.count.Add(1) * goldenStep
	// The upper 32 bits scaled to the sum of the shares.
	at := uint32((point >> 32) * uint64(p.upper[last]) >> 32)
	low, high := 0, last
	for low < high {
		mid := (low + high) / 2
		if at < p.upper[mid] {
			high = mid
			continue
		}
		low = mid + 1
	}
	return p.places[low]
}
