// Package pick selects a place according to the shares of one flow. A Picker
// selects one for each request. ForBlock maps a block of client addresses to a
// place that every node computes identically from the shares alone.
package pick

import (
	"sync/atomic"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
)

// goldenStep is 2^64 divided by the golden ratio, rounded to an odd number. Its
// multiples modulo 2^64 form a low-discrepancy sequence, so even short runs of
// requests match the shares closely.
const goldenStep = 0x9E3779B97F4A7C15

// Picker distributes requests over the places of one flow. It is safe for
// concurrent use, lock-free and does not allocate.
type Picker struct {
	places []model.PlaceName
	// upper[i] is the exclusive end of the cumulative share interval of places[i].
	upper []uint32
	flow  *plan.Flow
	// count is shared by successive pickers of one flow.
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
	p := &Picker{flow: flow, count: counterFrom(previous)}
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

func counterFrom(previous *Picker) *atomic.Uint64 {
	if previous != nil {
		return previous.count
	}
	return new(atomic.Uint64)
}

// Next returns the place for the next request, or "" when the flow has no shares.
func (p *Picker) Next() model.PlaceName {
	last := len(p.upper) - 1
	if last < 0 {
		return ""
	}
	point := p.count.Add(1) * goldenStep
	// Scales the upper 32 bits to the sum of the shares.
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
