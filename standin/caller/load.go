package caller

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// Rate gives requests/s at a time since the start of the run.
type Rate func(elapsed time.Duration) float64

// Steady returns a constant rate.
func Steady(rps float64) Rate {
	return func(time.Duration) float64 { return rps }
}

// Rush returns a rate that climbs from base to peak over rise, beginning at
// from, and stays there.
func Rush(base, peak float64, from, rise time.Duration) Rate {
	return func(elapsed time.Duration) float64 {
		part := float64(elapsed-from) / float64(max(rise, 1))
		return base + (peak-base)*min(1, max(0, part))
	}
}

// Kind is one kind of request.
type Kind struct {
	Method string
	Path   string
	Class  model.Class
	// Weight is its part of the load, relative to the other kinds.
	Weight float64
	// MinBody and MaxBody bound the request body, bytes.
	MinBody, MaxBody int
	// KeyShare is the part sent with an idempotency key, 0 to 1.
	KeyShare float64
}

// Load is the load on one service, in sum over all caller blocks.
type Load struct {
	Service model.ServiceName
	Rate    Rate
	Kinds   []Kind
	// Deadline is what callers wait.
	Deadline time.Duration
}
