package proxy

import (
	"sync"
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/retrybudget"
)

const (
	// initialRetries lets a service with few requests still retry one.
	initialRetries = 1
	// maxSavedRetries bounds the retries that accumulate while few are needed.
	maxSavedRetries = 20
)

// serviceState is the state of one service of an account. It outlives
// snapshots.
type serviceState struct {
	retryBudget *retrybudget.Budget
	metrics     [model.ClassCount]*classMetrics
	// sendTime estimates how long writing large bodies to targets takes.
	sendTime sendTimeEstimator

	mu sync.Mutex
	// offered counts the arrived requests by caller region.
	offered map[model.RegionName]*atomic.Uint64
}

func newServiceState(scope tally.Scope, account model.AccountName, service model.ServiceName) *serviceState {
	s := &serviceState{
		retryBudget: retrybudget.New(initialRetries, maxSavedRetries),
		offered:     make(map[model.RegionName]*atomic.Uint64),
	}
	for class := range s.metrics {
		s.metrics[class] = newClassMetrics(scope, account, service, model.Class(class))
	}
	return s
}

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
