package node

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// accountSet holds the accounts in force on this node. Readers take an
// immutable slice; writers replace it.
type accountSet struct {
	mu      sync.Mutex
	byName  map[model.AccountName]*model.Account
	sinceOf map[model.AccountName]time.Time
	current atomic.Pointer[[]*model.Account]
}

func newAccountSet() *accountSet {
	s := &accountSet{
		byName:  make(map[model.AccountName]*model.Account),
		sinceOf: make(map[model.AccountName]time.Time),
	}
	s.publish()
	return s
}

// set puts an account in force.
func (s *accountSet) set(a *model.Account) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byName[a.Name] = a
	s.sinceOf[a.Name] = time.Now()
	s.publish()
}

func (s *accountSet) remove(name model.AccountName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byName, name)
	delete(s.sinceOf, name)
	s.publish()
}

// since returns when the state of an account that is in force was put there.
func (s *accountSet) since(name model.AccountName) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sinceOf[name]
}

func (s *accountSet) publish() {
	names := slices.Sorted(maps.Keys(s.byName))
	all := make([]*model.Account, 0, len(names))
	for _, name := range names {
		all = append(all, s.byName[name])
	}
	s.current.Store(&all)
}

// all returns the accounts sorted by name; the slice must not be changed.
func (s *accountSet) all() []*model.Account { return *s.current.Load() }

// get returns an account, or nil.
func (s *accountSet) get(name model.AccountName) *model.Account {
	for _, a := range s.all() {
		if a.Name == name {
			return a
		}
	}
	return nil
}
