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
	// Shortest is the time of the shortest runs that are not rare: about that of a run on a warm target
	// without a wait. It is 0 if it is not known.
	Shortest time.Duration
	// InFlight is the number of requests at targets.
	InFlight int
}

// Add adds the load of other VMs.
func (l *Load) Add(other Load) {
	if answered := l.Answered + other.Answered; answered > 0 {
		l.Shortest = time.Duration((float64(l.Shortest)*l.Answered + float64(other.Shortest)*other.Answered) / answered)
	}
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
	// shortest is in seconds.
	shortest float64
}

const (
	// shortestFall and shortestRise are the parts of the difference by which a shorter and a longer run
	// change Load.Shortest. Where one run in ten is warm, it then settles at 1.5 times the warm time, and
	// where half are, within 8 % of it.
	shortestFall = 0.3
	shortestRise = 0.01
)

// observeShortest updates the estimate of Load.Shortest.
func (m *Meter) observeShortest(seconds float64) {
	switch {
	case m.shortest <= 0:
		m.shortest = seconds
	case seconds < m.shortest:
		m.shortest += shortestFall * (seconds - m.shortest)
	default:
		m.shortest += shortestRise * (seconds - m.shortest)
	}
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
		m.observeShortest(took.Seconds())
	}
}

// Load returns the measured load.
func (m *Meter) Load(now time.Time) Load {
	m.decay(now)
	return Load{
		Arrivals: m.arrivals, Answered: m.answered,
		Busy: time.Duration(m.busy * float64(time.Second)), InFlight: m.inFlight,
		Shortest: time.Duration(m.shortest * float64(time.Second)),
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
