package platform

import (
	"sync/atomic"

	"golang.org/x/time/rate"
)

// rates refuses calls above what the service takes.
type rates struct {
	reads   *rate.Limiter
	writes  *rate.Limiter
	refused atomic.Uint64
}

func newRates(o Options) *rates {
	return &rates{
		reads:  newLimiter(o.ReadsPerSecond),
		writes: newLimiter(o.WritesPerSecond),
	}
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

func (r *rates) allow(writes bool) bool {
	limiter := r.reads
	if writes {
		limiter = r.writes
	}
	if limiter.Allow() {
		return true
	}
	r.refused.Add(1)
	return false
}

// gauge counts what is under way, and the most there was at once.
type gauge struct {
	now  atomic.Int64
	most atomic.Int64
}

func (g *gauge) enter() {
	now := g.now.Add(1)
	for {
		most := g.most.Load()
		if now <= most || g.most.CompareAndSwap(most, now) {
			return
		}
	}
}

func (g *gauge) leave() {
	g.now.Add(-1)
}
