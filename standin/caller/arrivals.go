package caller

import (
	"math/rand/v2"
	"time"
)

// longestStep bounds how long a rate is taken for constant.
const longestStep = 50 * time.Millisecond

// arrivals draws the times of a Poisson process with a changing rate: over
// each short step the rate is constant, and an exponential wait that passes
// the step's end is drawn anew from there, which the process's lack of memory
// permits.
type arrivals struct {
	rate   Rate
	random *rand.Rand
	now    time.Duration
}

// after returns the time of the next arrival since the start.
func (a *arrivals) after() time.Duration {
	for {
		wait := longestStep
		if rps := a.rate(a.now); rps > 0 {
			wait = time.Duration(a.random.ExpFloat64() / rps * float64(time.Second))
		}
		if wait < longestStep {
			a.now += wait
			return a.now
		}
		a.now += longestStep
	}
}
