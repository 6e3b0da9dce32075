package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/quarantine"
)

const (
	// maxLostPerTarget bounds the requests that are remembered of one target.
	maxLostPerTarget = 64
	// abandonedTTL is how long a request is remembered that a target was still working on when
	// its caller left or its time was over: it may end the target all the same.
	abandonedTTL = 3 * time.Second
)

// lostRequest is a request that a target began and whose answer did not come.
type lostRequest struct {
	id          string
	fingerprint quarantine.Fingerprint
	lostAt      time.Time
}

// losses are the requests that targets began and did not answer, by poolKey of the target.
type losses struct {
	mu sync.Mutex
	// lost are those whose connections broke a moment ago, abandoned those that were given up.
	lost, abandoned map[string][]lostRequest
}

func newLosses() *losses {
	return &losses{lost: make(map[string][]lostRequest), abandoned: make(map[string][]lostRequest)}
}

// addLost reports whether the request is the first one of those to look for.
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

// takeLost returns the requests whose connections broke.
func (l *losses) takeLost(key string) []lostRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := l.lost[key]
	delete(l.lost, key)
	return list
}

// takeAbandoned returns the requests that were given up lately.
func (l *losses) takeAbandoned(key string, now time.Time) []lostRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := dropExpired(l.abandoned[key], now)
	delete(l.abandoned, key)
	return list
}

// removeUnlisted drops what is remembered of targets that are not listed.
func (l *losses) removeUnlisted(listed map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key := range l.abandoned {
		if !listed[key] {
			delete(l.abandoned, key)
		}
	}
}

// dropExpired returns the requests that were given up within abandonedFor.
func dropExpired(list []lostRequest, now time.Time) []lostRequest {
	return slices.DeleteFunc(list, func(r lostRequest) bool { return now.Sub(r.lostAt) > abandonedTTL })
}
