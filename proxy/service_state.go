package proxy

import (
	"sync"
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/retrybudget"
)

const (
	// startRetries lets a service that gets few requests still retry one.
	startRetries = 1
	// maxSavedRetries is how many retries can be saved up in quiet times.
	maxSavedRetries = 20
)

// serviceState is one service of one account, over all snapshots.
type serviceState struct {
	budget  *retrybudget.Budget
	metrics [model.ClassCount]*classMetrics
	// sending estimates how long large bodies take to their targets.
	sending sendTime

	mu sync.Mutex
	// offered counts the requests that arrived, for each caller region.
	offered map[model.RegionName]*atomic.Uint64
}

func newServiceState(scope tally.Scope, account model.AccountName, service model.ServiceName) *serviceState {
	s := &serviceState{
		budget:  retrybudget.New(startRetries, maxSavedRetries),
		offered: make(map[model.RegionName]*atomic.Uint64),
	}
	for class := range s.metrics {
		s.metrics[class] = newClassMetrics(scope, account, service, model.Class(class))
	}
	return s
}

// offeredBy returns the counter of a caller region.
func (s *serviceState) offeredBy(caller model.RegionName) *atomic.Uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.offered[caller]
	if c == nil {
		c = new(atomic.Uint64)
		s.offered[caller] = c
	}
	return c
}

// takeOffered returns the counts since the last call.
func (s *serviceState) takeOffered() map[model.RegionName]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[model.RegionName]uint64, len(s.offered))
	for caller, c := range s.offered {
		counts[caller] = c.Swap(0)
	}
	return counts
}
