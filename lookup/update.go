package lookup

import (
	"slices"

	"github.com/yuccaroute/yuccaroute/api/content"
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/lookup/blocks"
)

// callerSource identifies the caller blocks of an account, to detect accounts
// with the same blocks.
type callerSource struct {
	// sets names the caller sets of the account.
	sets []content.Name
	// list is the account's own list of blocks; it is nil if there are sets.
	list []model.CallerBlock
}

func callerSourceOf(account *model.Account) callerSource {
	if len(account.CallerSets) > 0 {
		return callerSource{sets: account.CallerSets}
	}
	return callerSource{list: account.Callers}
}

func (c callerSource) equal(other callerSource) bool {
	return slices.Equal(c.sets, other.sets) && slices.Equal(c.list, other.list)
}

// HasBlocks reports whether an account already uses the blocks of these sets, so
// that SetAccount does not need them in Callers.
func (l *Lookup) HasBlocks(sets []content.Name) bool {
	return l.current.Load().findView(callerSource{sets: sets}) != nil
}

// findView returns the blocks of any account with this source, or nil.
func (s *snapshot) findView(source callerSource) *blocks.View {
	for _, view := range s.accounts {
		if view.callers.equal(source) {
			return view.blocks
		}
	}
	return nil
}

// blocksFor returns the current view of an account if its blocks did not change,
// else that of an account with the same sets, else a new one.
func (s *snapshot) blocksFor(account *model.Account) *blocks.View {
	source := callerSourceOf(account)
	current := s.accounts[account.Name]
	if current != nil && current.callers.equal(source) {
		return current.blocks
	}
	if len(source.sets) > 0 {
		if view := s.findView(source); view != nil {
			return view
		}
	}
	others := make([]*blocks.View, 0, len(s.accounts))
	for _, view := range s.accounts {
		others = append(others, view.blocks)
	}
	return blocks.Build(account.Callers, others)
}

// updateEntries publishes a snapshot with the entry VMs of the latest list.
func (l *Lookup) updateEntries() {
	exclude := ""
	if l.leaving {
		exclude = l.options.VM
	}
	next := *l.current.Load()
	next.entries = newEntryIndex(l.list, exclude)
	l.current.Store(&next)
}

// appendEntries appends the VMs of the caller's region, then those of the nearest
// other regions with VMs. If the account does not define the caller's region,
// other regions are used in order of name.
func (s *snapshot) appendEntries(to []EntryVM, view *accountView, region model.RegionName, caller uint64) []EntryVM {
	if own := s.entries.regions[region]; own != nil {
		to = appendRegion(to, own, caller, maxPerRegion)
	}
	others := view.order[region]
	if others == nil {
		others = s.entries.names
	}
	appended := 0
	for _, name := range others {
		other := s.entries.regions[name]
		if other == nil || name == region {
			continue
		}
		to = appendRegion(to, other, caller, maxPerOther)
		appended++
		if appended == maxOtherRegions {
			break
		}
	}
	return to
}

// metricsFor returns the metrics of an account and creates them on first use.
func (l *Lookup) metricsFor(name model.AccountName) *accountMetrics {
	if metrics := l.metrics[name]; metrics != nil {
		return metrics
	}
	scope := l.options.Scope.Tagged(map[string]string{"account": string(name)})
	metrics := &accountMetrics{
		answered: scope.Counter("lookup_answered"),
		refused:  scope.Counter("lookup_refused"),
		duration: scope.Histogram("lookup_duration", durationBuckets),
	}
	l.metrics[name] = metrics
	return metrics
}
