// Package refusals counts the requests that a VM refused in the last minute, by client account and reason,
// and by service, region and account beside those whose requests started there meanwhile. It does no I/O
// and takes the time as an argument.
package refusals

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// windowSeconds is the length of the window and of each ring.
	windowSeconds = 60
	// MaxAccounts bounds the accounts that are counted separately, and maxReasons the reasons of each.
	// A reason takes about 300 bytes, so that all take less than 700 KB.
	MaxAccounts = 256
	maxReasons  = 8
	// Others is the account, or the reason, that those beyond the bounds are counted under.
	Others = "(others)"
	// evictInterval is the shortest time between two searches for accounts without refusals, which read
	// all accounts.
	evictInterval = time.Second
)

// Log counts refusals. It is safe for concurrent use.
type Log struct {
	mu        sync.Mutex
	start     time.Time
	accounts  map[string]*account
	evictedAt time.Time
	// places are in no particular order; refused counts their refusals.
	places  []*place
	refused uint64
}

type account struct{ reasons []*ring }

// ring counts the refusals for one reason by second.
type ring struct {
	reason string
	counts [windowSeconds]uint32
	// newest is the second of the last refusal, since the time of the first one after which no window
	// was without any.
	newest int64
	since  time.Time
}

// New returns an empty log.
func New(now time.Time) *Log { return &Log{start: now, accounts: make(map[string]*account)} }

// isEnded reports whether the window that ends at a second is empty.
func (r *ring) isEnded(second int64) bool { return second-r.newest >= windowSeconds }

// Count counts one refused request.
func (l *Log) Count(now time.Time, r Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	second := l.second(now)
	l.account(now, r.Account).ring(r.Reason, second).count(now, second)
	l.countPlace(now, r, second)
}

// second returns the number of whole seconds since the start.
func (l *Log) second(now time.Time) int64 { return int64(now.Sub(l.start) / time.Second) }

func (l *Log) account(now time.Time, name string) *account {
	a := l.accounts[name]
	if a != nil {
		return a
	}
	if len(l.accounts) >= MaxAccounts-1 && name != Others {
		l.evict(now)
		if len(l.accounts) >= MaxAccounts-1 {
			return l.account(now, Others)
		}
	}
	a = &account{}
	l.accounts[name] = a
	return a
}

// evict removes the accounts without refusals in the window.
func (l *Log) evict(now time.Time) {
	if now.Sub(l.evictedAt) < evictInterval {
		return
	}
	l.evictedAt = now
	second := l.second(now)
	for name, a := range l.accounts {
		if !slices.ContainsFunc(a.reasons, func(r *ring) bool { return !r.isEnded(second) }) {
			delete(l.accounts, name)
		}
	}
}

// ring returns the ring of a reason. A new reason replaces one without refusals in the window; if there is none,
// and there are maxReasons, it counts among the others.
func (a *account) ring(reason string, second int64) *ring {
	var ended *ring
	for _, r := range a.reasons {
		if r.reason == reason {
			return r
		}
		if r.reason != Others && r.isEnded(second) {
			ended = r
		}
	}
	if ended != nil {
		ended.reason = reason
		return ended
	}
	if len(a.reasons) >= maxReasons-1 && reason != Others {
		return a.ring(Others, second)
	}
	// The window before the start is empty.
	r := &ring{reason: reason, newest: -windowSeconds}
	a.reasons = append(a.reasons, r)
	return r
}

func (r *ring) count(now time.Time, second int64) {
	switch {
	case r.isEnded(second):
		clear(r.counts[:])
		r.newest, r.since = second, now
	case second > r.newest:
		for r.newest < second {
			r.newest++
			r.counts[r.newest%windowSeconds] = 0
		}
	}
	r.counts[r.newest%windowSeconds]++
}

// sum returns the refusals of the window that ends at a second.
func (r *ring) sum(second int64) (n int) {
	for s := max(second-windowSeconds, r.newest-windowSeconds, -1) + 1; s <= r.newest; s++ {
		n += int(r.counts[s%windowSeconds])
	}
	return n
}

// Account is what was refused of one client account in the last minute.
type Account struct {
	// Account is "" for requests without one and Others for those beyond MaxAccounts.
	Account string   `json:"account"`
	Refused int      `json:"refused_last_60_s"`
	Reasons []Reason `json:"reasons"`
}

// Reason is the part that was refused for one reason.
type Reason struct {
	// Reason is the field why of the log line of a refused request.
	Reason  string `json:"reason"`
	Refused int    `json:"refused_last_60_s"`
	// SinceS is the age of the first refusal after which there was at least one in each minute.
	SinceS float64 `json:"since_s"`
}

// LastMinute returns the accounts with refusals, those with most first.
func (l *Log) LastMinute(now time.Time) []Account {
	l.mu.Lock()
	defer l.mu.Unlock()
	list, second := []Account{}, l.second(now)
	for name, a := range l.accounts {
		if refused, reasons := a.sums(now, second); refused > 0 {
			list = append(list, Account{Account: name, Refused: refused, Reasons: reasons})
		}
	}
	slices.SortFunc(list, func(x, y Account) int {
		return cmp.Or(cmp.Compare(y.Refused, x.Refused), cmp.Compare(x.Account, y.Account))
	})
	return list
}

// sums returns the refusals of the window that ends at a second, and those for each reason, most first.
func (a *account) sums(now time.Time, second int64) (refused int, reasons []Reason) {
	for _, r := range a.reasons {
		if n := r.sum(second); n > 0 {
			refused += n
			reasons = append(reasons, Reason{Reason: r.reason, Refused: n, SinceS: now.Sub(r.since).Round(time.Millisecond).Seconds()})
		}
	}
	slices.SortFunc(reasons, func(x, y Reason) int {
		return cmp.Or(cmp.Compare(y.Refused, x.Refused), cmp.Compare(x.Reason, y.Reason))
	})
	return refused, reasons
}
