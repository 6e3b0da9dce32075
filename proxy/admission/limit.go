package admission

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/grant"
)

// BurstDuration is the time for which a bucket saves tokens at its rate.
const BurstDuration = 50 * time.Millisecond

// Limit is the rate limit set by one grant.
type Limit struct {
	// Floor is in force until it is replaced.
	Floor grant.Amount
	// Surplus is added to Floor until Expires.
	Surplus grant.Amount
	// Expires has a monotonic clock reading.
	Expires time.Time
	// Alive may be nil. While it is not live the limit is zero: after a long pause
	// the floors of the process may have been granted to other nodes. It is checked
	// on every admission, before the process itself has detected the pause.
	Alive *grant.Liveness
}

// LimitOf returns the limit of a key in a set. It is zero if the set is nil or has
// no such key.
func LimitOf(set *grant.Set, key grant.Key) Limit {
	if set == nil {
		return Limit{}
	}
	for i := range set.Grants {
		g := &set.Grants[i]
		if g.Key == key {
			return Limit{Floor: g.Floor, Surplus: g.Surplus, Expires: set.SurplusExpires, Alive: set.Alive}
		}
	}
	return Limit{}
}

// RPS returns the rate in force at the given time, in requests per second.
func (l Limit) RPS(now time.Time) float64 {
	if !l.live(now) {
		return 0
	}
	if now.Before(l.Expires) {
		return (l.Floor + l.Surplus).RPS()
	}
	return l.Floor.RPS()
}

func (l Limit) live(now time.Time) bool { return l.Alive == nil || l.Alive.Live(now) }

// accrued returns the number of tokens that accrue between two times.
func (l Limit) accrued(from, to time.Time) float64 {
	if !from.Before(to) || !l.live(to) {
		return 0
	}
	total := l.Floor.RPS() * to.Sub(from).Seconds()
	if l.Expires.Before(to) {
		to = l.Expires
	}
	if from.Before(to) {
		total += l.Surplus.RPS() * to.Sub(from).Seconds()
	}
	return total
}

// Burst returns the capacity of a bucket at a rate. It is zero for a rate of zero
// and at least one request for any other, or nothing would ever be admitted.
func Burst(rps float64) float64 {
	if rps <= 0 {
		return 0
	}
	return max(1, rps*BurstDuration.Seconds())
}
