package node

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/config/changelog"
)

// inForce is an account in force on this node with the version that it came
// with and when it was put in force.
type inForce struct {
	account *model.Account
	version changelog.Version
	since   time.Time
}

// accountSet holds the accounts in force on this node. Readers take an
// immutable slice; writers replace it.
type accountSet struct {
	mu      sync.Mutex
	byName  map[model.AccountName]inForce
	current atomic.Pointer[[]*model.Account]
}

func newAccountSet() *accountSet {
	s := &accountSet{byName: make(map[model.AccountName]inForce)}
	s.publish()
	return s
}

// set puts an account in force.
func (s *accountSet) set(a *model.Account, version changelog.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byName[a.Name] = inForce{account: a, version: version, since: time.Now()}
	s.publish()
}

func (s *accountSet) remove(name model.AccountName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byName, name)
	s.publish()
}

// version returns the version of an account that is in force; ok is false when
// none is.
func (s *accountSet) version(name model.AccountName) (version changelog.Version, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	in, ok := s.byName[name]
	return in.version, ok
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
