package lookup

import (
	"slices"

	"github.com/yuccaroute/yuccaroute/api/content"
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/lookup/blocks"
)

// callers tells whether two accounts have the same caller blocks.
type callers struct {
	// sets names the blocks that the account does not hold itself.
	sets []content.Name
	// list is the account's own list; it is nil if sets is not.
	list []model.CallerBlock
}

func callersOf(account *model.Account) callers {
	if len(account.CallerSets) > 0 {
		return callers{sets: account.CallerSets}
	}
	return callers{list: account.Callers}
}

func (c callers) equal(other callers) bool {
	return slices.Equal(c.sets, other.sets) && slices.Equal(c.list, other.list)
}

// HasBlocks reports whether the blocks of these sets are in force for some
// account, so that SetAccount needs no list of them.
func (l *Lookup) HasBlocks(sets []content.Name) bool {
	return l.current.Load().viewOf(callers{sets: sets}) != nil
}

// viewOf returns the blocks of any account with these callers, or nil.
func (s *snapshot) viewOf(wanted callers) *blocks.View {
	for _, view := range s.accounts {
		if view.callers.equal(wanted) {
			return view.blocks
		}
	}
	return nil
}

// blocksOf returns the blocks of an account: those it has already if they did
// not change, as with most changes, those of an account with the same sets, or
// else a new view.
func (s *snapshot) blocksOf(account *model.Account) *blocks.View {
	wanted := callersOf(account)
	held := s.accounts[account.Name]
	if held != nil && held.callers.equal(wanted) {
		return held.blocks
	}
	if len(wanted.sets) > 0 {
		if view := s.viewOf(wanted); view != nil {
			return view
		}
	}
	others := make([]*blocks.View, 0, len(s.accounts))
	for _, view := range s.accounts {
		others = append(others, view.blocks)
	}
	return blocks.Build(account.Callers, others)
}

// swapEntries publishes the entry VMs of the latest list.
func (l *Lookup) swapEntries() {
	without := ""
	if l.leaving {
		without = l.options.VM
	}
	next := *l.current.Load()
	next.entries = newEntries(l.list, without)
	l.current.Store(&next)
}

// appendEntries appends the VMs of the caller's region, then those of the
// nearest other regions that have any. A region the account names no delay
// order for falls back to the names in order.
func (s *snapshot) appendEntries(to []EntryVM, view *accountView, region model.RegionName, caller uint64) []EntryVM {
	if own := s.entries.regions[region]; own != nil {
		to = appendRegion(to, own, caller, maxPerRegion)
	}
	others := view.order[region]
	if others == nil {
		others = s.entries.names
	}
	offered := 0
	for _, name := range others {
		other := s.entries.regions[name]
		if other == nil || name == region {
			continue
		}
		to = appendRegion(to, other, caller, maxPerOther)
		offered++
		if offered == maxOtherRegions {
			break
		}
	}
	return to
}

// metricsOf returns the metrics of an account, made once.
func (l *Lookup) metricsOf(name model.AccountName) *accountMetrics {
	if held := l.metrics[name]; held != nil {
		return held
	}
	scope := l.options.Scope.Tagged(map[string]string{"account": string(name)})
	held := &accountMetrics{
		answered: scope.Counter("lookup_answered"),
		refused:  scope.Counter("lookup_refused"),
		duration: scope.Histogram("lookup_duration", durationBuckets),
	}
	l.metrics[name] = held
	return held
}
