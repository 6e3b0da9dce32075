package node

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/node/merge"
)

// inForce is an account in force on this node with the version that it came
// with and when it was put in force.
type inForce struct {
	account *model.Account
	// callers holds the bodies of the account's CallerSets. The node's items drop
	// them when a newer document arrives, which may not be in force for a while.
	callers [][]byte
	state   merge.State
	since   time.Time
}

// accountSet holds the accounts in force on this node. Readers take an
// immutable slice; writers replace it.
type accountSet struct {
	mu     sync.Mutex
	byName map[model.AccountName]inForce
	// deleted holds the accounts that were taken out of force.
	deleted map[model.AccountName]merge.State
	current atomic.Pointer[[]*model.Account]
}

func newAccountSet() *accountSet {
	s := &accountSet{byName: make(map[model.AccountName]inForce), deleted: make(map[model.AccountName]merge.State)}
	s.publish()
	return s
}

// set puts an account in force.
func (s *accountSet) set(a *model.Account, callers [][]byte, state merge.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byName[a.Name] = inForce{account: a, callers: callers, state: state, since: time.Now()}
	delete(s.deleted, a.Name)
	s.publish()
}

func (s *accountSet) remove(name model.AccountName, state merge.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byName, name)
	s.deleted[name] = state
	s.publish()
}

// state returns the state of an account that is in force or was deleted; ok is
// false when nothing is known of it.
func (s *accountSet) state(name model.AccountName) (state merge.State, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if in, ok := s.byName[name]; ok {
		return in.state, true
	}
	state, ok = s.deleted[name]
	return state, ok
}

// allInForce returns the accounts sorted by name, each with its own version. The
// version is kept with the account, since the items of module spread are ahead
// of it: one that has arrived is not in force until it was decoded and handed
// over, and never if it does not decode. Telling its version beside the account
// would call a change in force that is not.
func (s *accountSet) allInForce() []inForce {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []inForce
	for _, name := range slices.Sorted(maps.Keys(s.byName)) {
		all = append(all, s.byName[name])
	}
	return all
}

func (s *accountSet) publish() {
	names := slices.Sorted(maps.Keys(s.byName))
	all := make([]*model.Account, 0, len(names))
	for _, name := range names {
		all = append(all, s.byName[name].account)
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
