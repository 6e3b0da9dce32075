package lookup

import (
	"maps"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/membership"
)

// Lookup finds entry VMs for callers from an immutable snapshot. All methods are
// safe for concurrent use.
type Lookup struct {
	options Options
	current atomic.Pointer[snapshot]

	// mutex serializes writers; readers never take it.
	mutex   sync.Mutex
	list    membership.List
	leaving bool
	metrics map[model.AccountName]*accountMetrics
}

// New returns a Lookup without accounts and VMs.
func New(options Options) *Lookup {
	l := &Lookup{
		options: options.withDefaults(),
		metrics: make(map[model.AccountName]*accountMetrics),
	}
	l.current.Store(&snapshot{
		accounts: make(map[model.AccountName]*accountView),
		entries:  newEntryIndex(membership.List{}, ""),
	})
	return l
}

// SetAccount adds or replaces an account. A revision older than the current one
// is ignored, so that a delayed message never reverts a change. The Callers of an
// account with CallerSets are not retained, and not read if HasBlocks reports
// true for the sets.
func (l *Lookup) SetAccount(account *model.Account) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	old := l.current.Load()
	current := old.accounts[account.Name]
	if current != nil && current.revision > account.Revision {
		return
	}
	next := *old
	next.accounts = maps.Clone(old.accounts)
	next.accounts[account.Name] = &accountView{
		revision: account.Revision,
		callers:  callerSourceOf(account),
		blocks:   old.blocksFor(account),
		order:    newRegionOrder(account),
		metrics:  l.metricsFor(account.Name),
	}
	l.current.Store(&next)
	l.options.Logger.WithField("account", string(account.Name)).WithField("revision", account.Revision).
		Debug("lookup: account updated")
}

// RemoveAccount removes an account.
func (l *Lookup) RemoveAccount(name model.AccountName) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	old := l.current.Load()
	if old.accounts[name] == nil {
		return
	}
	next := *old
	next.accounts = maps.Clone(old.accounts)
	delete(next.accounts, name)
	l.current.Store(&next)
}

// SetVMs replaces the VM list. Answers omit VMs that are listed as leaving.
func (l *Lookup) SetVMs(list membership.List) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.list = list
	l.updateEntries()
}

// SetLeaving sets whether this node is in a planned stop. Its answers then omit
// the node itself, even before the VM list shows the stop.
func (l *Lookup) SetLeaving(leaving bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.leaving = leaving
	l.updateEntries()
}

// CallerRegion returns the region of an address according to the account's
// blocks. It reports false for an unknown account or an address in no block.
func (l *Lookup) CallerRegion(account model.AccountName, addr netip.Addr) (model.RegionName, bool) {
	s := l.current.Load()
	view := s.accounts[account]
	if view == nil {
		return "", false
	}
	return view.blocks.Region(addr)
}

// Lookup fills in the answer for a caller, reusing its memory. The code is OK,
// UnknownAccount, UnknownCallerRegion or NoEntryVM; the answer contains VMs only
// if it is OK.
func (l *Lookup) Lookup(account model.AccountName, addr netip.Addr, answer *Answer) result.Code {
	s := l.current.Load()
	answer.Account = account
	answer.CallerRegion = ""
	answer.Revision = 0
	answer.LifetimeMS = l.options.Lifetime.Milliseconds()
	answer.EntryVMs = answer.EntryVMs[:0]
	view := s.accounts[account]
	if view == nil {
		return result.UnknownAccount
	}
	answer.Revision = view.revision
	region, ok := view.blocks.Region(addr)
	if !ok {
		view.metrics.refused.Inc(1)
		return result.UnknownCallerRegion
	}
	answer.CallerRegion = region
	answer.EntryVMs = s.appendEntries(answer.EntryVMs, view, region, callerHash(addr.Unmap()))
	if len(answer.EntryVMs) == 0 {
		view.metrics.refused.Inc(1)
		return result.NoEntryVM
	}
	view.metrics.answered.Inc(1)
	return result.OK
}
