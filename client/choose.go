package client

import (
	"context"
	"time"

	"github.com/yuccaroute/yuccaroute/api/wait"
)

// Pauses before a request goes back to an entry VM it was already sent to.
const (
	minRepeatPause = 10 * time.Millisecond
	maxRepeatPause = 50 * time.Millisecond
)

// choice is an entry VM considered for a request.
type choice struct {
	entry Entry
	tried bool
	// back is how long the entry VM asked this request to stay away, held how
	// long it is passed over for all.
	back, held time.Duration
}

// before reports whether a is to be used before b, where a comes later in the
// order of the look-up.
func (a *choice) before(b *choice) bool {
	if a.tried != b.tried {
		return !a.tried
	}
	if a.back != b.back {
		return a.back < b.back
	}
	return a.held < b.held
}

// choose returns the entry VM to use next, after waiting until it may be used.
// It fails when the deadline does not leave the time.
func (e *exchange) choose(ctx context.Context) (Entry, error) {
	entries, err := e.client.entries.get(ctx)
	if err != nil {
		return Entry{}, err
	}
	best := e.best(entries)
	if !best.tried {
		return best.entry, ctx.Err()
	}
	repeat := e.client.jitter.between(minRepeatPause, maxRepeatPause)
	return best.entry, pause(ctx, max(repeat, best.back))
}

func (e *exchange) best(entries []Entry) choice {
	best := e.consider(entries[0])
	for _, entry := range entries[1:] {
		next := e.consider(entry)
		if next.before(&best) {
			best = next
		}
	}
	return best
}

func (e *exchange) consider(entry Entry) choice {
	again, tried := e.tried[entry.Address]
	c := choice{entry: entry, tried: tried, held: e.client.holds.left(entry.Address, e.request.Service)}
	if tried {
		c.back = max(0, time.Until(again))
	}
	return c
}

// pause fails at once when the deadline does not leave the time.
func pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	deadline, ok := ctx.Deadline()
	if ok && time.Until(deadline) <= d {
		return context.DeadlineExceeded
	}
	if !wait.For(ctx, d) {
		return ctx.Err()
	}
	return nil
}
