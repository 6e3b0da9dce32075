package workingset

import (
	"math"
	"time"
)

// TimeConstant is that of the decay of measured rates. At 100 requests a second the deviation of a rate
// is then about 6 %, and a surge shows within a second.
const TimeConstant = 1500 * time.Millisecond

// Load is what VMs measured of the admitted requests of one rank of a scope.
type Load struct {
	// Arrivals and Answered are requests per second. Requests that were admitted and then refused for
	// another reason count as arrivals too.
	Arrivals, Answered float64
	// Busy is how long targets were busy per second, waits at the targets and runs without an answer
	// included.
	Busy time.Duration
	// InFlight is the number of requests at targets.
	InFlight int
}

// Add adds the load of other VMs.
func (l *Load) Add(other Load) {
	l.Arrivals += other.Arrivals
	l.Answered += other.Answered
	l.Busy += other.Busy
	l.InFlight += other.InFlight
}

// Meter measures the load of one rank at one VM. The zero value is ready for use.
type Meter struct {
	// arrivals, answered and busy (in seconds) are rates per second as of at.
	arrivals, answered, busy float64
	at                       time.Time
	inFlight                 int
}

// Arrived counts an admitted request.
func (m *Meter) Arrived(now time.Time) {
	m.decay(now)
	m.arrivals += 1 / TimeConstant.Seconds()
}

// Started counts a request that is sent to a target.
func (m *Meter) Started() { m.inFlight++ }

// Ended counts the end of a request at a target, which had it for the time took; 0 if it did not run.
func (m *Meter) Ended(now time.Time, answered bool, took time.Duration) {
	m.decay(now)
	m.inFlight--
	m.busy += max(0, took.Seconds()) / TimeConstant.Seconds()
	if answered {
		m.answered += 1 / TimeConstant.Seconds()
	}
}

// Load returns the measured load.
func (m *Meter) Load(now time.Time) Load {
	m.decay(now)
	return Load{
		Arrivals: m.arrivals, Answered: m.answered,
		Busy: time.Duration(m.busy * float64(time.Second)), InFlight: m.inFlight,
	}
}

func (m *Meter) decay(now time.Time) {
	if !m.at.IsZero() {
		left := math.Exp(-now.Sub(m.at).Seconds() / TimeConstant.Seconds())
		m.arrivals *= left
		m.answered *= left
		m.busy *= left
	}
	m.at = now
}
