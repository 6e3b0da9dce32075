package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/quarantine"
)

const (
	// maxLostPerTarget bounds each list of requests of one target.
	maxLostPerTarget = 64
	// abandonedTTL is how long an abandoned request is remembered: the target may still be
	// running it, and crash.
	abandonedTTL = 3 * time.Second
)

// lostRequest is a request that a target may have started and did not answer.
type lostRequest struct {
	id          string
	fingerprint quarantine.Fingerprint
	lostAt      time.Time
}

// losses holds the unanswered requests of each target by poolKey.
type losses struct {
	mu sync.Mutex
	// lost holds requests whose connection broke and whose target is to be checked, abandoned
	// those whose caller left or whose deadline passed.
	lost, abandoned map[string][]lostRequest
}

func newLosses() *losses {
	return &losses{lost: make(map[string][]lostRequest), abandoned: make(map[string][]lostRequest)}
}

// addLost reports whether the list was empty, so that the caller has to check the target.
func (l *losses) addLost(key string, r lostRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.lost[key]
	if len(before) < maxLostPerTarget {
		l.lost[key] = append(before, r)
	}
	return len(before) == 0
}

func (l *losses) addAbandoned(key string, r lostRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := dropExpired(l.abandoned[key], r.lostAt)
	if len(list) < maxLostPerTarget {
		list = append(list, r)
	}
	l.abandoned[key] = list
}

// takeLost removes and returns the lost requests of a target.
func (l *losses) takeLost(key string) []lostRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := l.lost[key]
	delete(l.lost, key)
	return list
}

// takeAbandoned removes and returns the requests of a target abandoned within abandonedTTL.
func (l *losses) takeAbandoned(key string, now time.Time) []lostRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := dropExpired(l.abandoned[key], now)
	delete(l.abandoned, key)
	return list
}

// removeUnlisted drops the abandoned requests of targets that are no longer listed.
func (l *losses) removeUnlisted(listed map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key := range l.abandoned {
		if !listed[key] {
			delete(l.abandoned, key)
		}
	}
}

// dropExpired removes, in place, the requests older than abandonedTTL.
func dropExpired(list []lostRequest, now time.Time) []lostRequest {
	return slices.DeleteFunc(list, func(r lostRequest) bool { return now.Sub(r.lostAt) > abandonedTTL })
}
