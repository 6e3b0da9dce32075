package quota

import "time"

const (
	// intervalWeight is the weight of one measured interval between tokens, and grantWeight that of a
	// token that came at once, in the expected interval.
	intervalWeight = 0.2
	grantWeight    = 0.05
)

// mayAsk reports whether the VM has no token and the coordinator may have one now.
func (h *Holder) mayAsk(now time.Time, limit Limit) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	a, l := h.holding(now, limit)
	return !l.alone && a.tokens == 0 && !now.Before(a.exhaustedUntil)
}

// held returns the number of tokens under a limit.
func (h *Holder) held(now time.Time, limit Limit) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	a, _ := h.holding(now, limit)
	return a.tokens
}

// expect returns the time until this VM has a token, and the time between further ones; ok is false
// if the limit permits none.
func (h *Holder) expect(now time.Time, limit Limit) (wait, interval time.Duration, ok bool) {
	if limit.Rate <= 0 {
		return 0, 0, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	a, l := h.holding(now, limit)
	if l.alone {
		return h.expectOwn(now, a)
	}
	interval = max(a.interval, perToken(limit.Rate))
	if a.tokens > 0 {
		return 0, interval, true
	}
	return max(0, a.exhaustedUntil.Sub(now)), interval, true
}

// expectOwn is expect for a VM that uses its own entitlement.
func (h *Holder) expectOwn(now time.Time, a *holding) (wait, interval time.Duration, ok bool) {
	h.accrueOwn(now, a)
	rate := h.bounds.allowanceFor(a.limit).rate / float64(max(1, h.fleet()))
	if rate <= 0 {
		return 0, 0, false
	}
	interval = perToken(rate)
	return time.Duration(max(0, 1-a.own) * float64(interval)), interval, true
}

// perToken returns the time between two tokens at a rate in tokens per second.
func perToken(rate float64) time.Duration { return time.Duration(float64(time.Second) / rate) }

// measureInterval updates the expected time between tokens when some have come. The VM may ask for
// more then.
func (a *holding) measureInterval(now time.Time, tokens int) {
	since := now.Sub(a.grantedAt) / time.Duration(tokens)
	switch {
	case !a.denied:
		// The coordinator had tokens at once, so there may be more.
		a.interval -= time.Duration(grantWeight * float64(a.interval))
	case !a.grantedAt.IsZero():
		a.interval += time.Duration(intervalWeight * float64(min(since, maxPromise)-a.interval))
	}
	a.grantedAt, a.denied, a.exhaustedUntil = now, false, time.Time{}
}
