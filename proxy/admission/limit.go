package admission

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/grant"
)

// BurstDuration is how much of its rate a bucket can hold back and admit at once.
const BurstDuration = 50 * time.Millisecond

// Limit is what one grant permits.
type Limit struct {
	// Floor stays in force until it is replaced.
	Floor grant.Amount
	// Surplus is in force on top of Floor before Expires.
	Surplus grant.Amount
	// Expires is read from the monotonic clock.
	Expires time.Time
	// Alive may be nil. While it is not live nothing is in force: the process
	// was paused for so long that it may have been taken for ended and its
	// floors given to others. A request that is admitted before the process
	// notices the pause would send more than the place carries in sum; so each
	// admission looks.
	Alive *grant.Liveness
}

// LimitOf returns the limit a set holds for a key; a nil set or a key that is
// not in it permits nothing.
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

// RPS returns the rate in force at a time, in requests per second.
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

// earned returns how many requests the limit permits between two times.
func (l Limit) earned(from, to time.Time) float64 {
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

// Burst returns the most requests a bucket admits at once at a rate. A rate of
// zero admits none; any other rate admits at least one, or it would admit
// nothing at all.
func Burst(rps float64) float64 {
	if rps <= 0 {
		return 0
	}
	return max(1, rps*BurstDuration.Seconds())
}
