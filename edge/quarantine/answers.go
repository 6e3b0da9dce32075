package quarantine

import (
	"sync"
	"time"
)

const (
	// answerTTL is the minimum time for which an answered request is remembered; the maximum is
	// twice as long. It delays the detection of a request that starts to crash targets after it
	// was answered.
	answerTTL = 5 * time.Second
	// maxAnswers limits the requests that are remembered in each such period.
	maxAnswers = 4096
)

// answers remembers which requests were recently answered by targets, at this VM or at others. A
// crash is not counted against them: when many targets crash at once, a frequent request was
// probably in flight at several of them without causing it. It is safe for concurrent use.
type answers struct {
	mu sync.Mutex
	// current holds the requests answered since rotatedAt, previous those of the period before.
	current, previous map[Fingerprint]struct{}
	rotatedAt         time.Time
}

// add records that a target answered a request.
func (a *answers) add(now time.Time, f Fingerprint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rotate(now)
	if len(a.current) < maxAnswers {
		a.current[f] = struct{}{}
	}
}

// has reports whether a target answered a request recently.
func (a *answers) has(now time.Time, f Fingerprint) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.rotate(now)
	_, current := a.current[f]
	_, previous := a.previous[f]
	return current || previous
}

// rotate discards the older period once the current one is over.
func (a *answers) rotate(now time.Time) {
	age := now.Sub(a.rotatedAt)
	if a.current != nil && age < answerTTL {
		return
	}
	a.previous = nil
	if age < 2*answerTTL {
		a.previous = a.current
	}
	a.current, a.rotatedAt = make(map[Fingerprint]struct{}), now
}
