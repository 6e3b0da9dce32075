package client

import (
	"context"
	"time"
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
	// failed and asked are what is left of its holds.
	failed, asked time.Duration
}

// before reports whether a is to be used before b, where a comes later in the
// order of the look-up.
func (a *choice) before(b *choice) bool {
	if a.tried != b.tried {
		return !a.tried
	}
	if a.asked != b.asked {
		return a.asked < b.asked
	}
	return a.failed < b.failed
}

// choose returns the entry VM to use next, after waiting until it may be used.
// It fails when the deadline does not leave the time.
func (e *exchange) choose(ctx context.Context) (Entry, error) {
	entries, err := e.client.entries.get(ctx)
	if err != nil {
		return Entry{}, err
	}
	best := e.best(entries)
	wait := best.asked
	if best.tried {
		wait = max(wait, e.client.jitter.between(minRepeatPause, maxRepeatPause))
	}
	return best.entry, pause(ctx, wait)
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
	failed, asked := e.client.holds.left(entry.Address, e.request.Service)
	return choice{entry: entry, tried: e.tried[entry.Address], failed: failed, asked: asked}
}

func pause(ctx context.Context, wait time.Duration) error {
	if wait <= 0 {
		return ctx.Err()
	}
	deadline, ok := ctx.Deadline()
	if ok && time.Until(deadline) <= wait {
		return context.DeadlineExceeded
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
