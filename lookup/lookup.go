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

// Lookup answers look-ups from a snapshot. All methods may be called from
// several goroutines at once.
type Lookup struct {
	options Options
	current atomic.Pointer[snapshot]

	// mutex orders writers; readers never take it.
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
		entries:  newEntries(membership.List{}, ""),
	})
	return l
}

// SetAccount puts an account in force. An account older than the one in force
// is ignored, so that a late message never turns a change back. Of an account
// with CallerSets the Callers are read, but not kept; they are not read where
// HasBlocks is true.
func (l *Lookup) SetAccount(account *model.Account) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	old := l.current.Load()
	held := old.accounts[account.Name]
	if held != nil && held.revision > account.Revision {
		return
	}
	next := *old
	next.accounts = maps.Clone(old.accounts)
	next.accounts[account.Name] = &accountView{
		revision: account.Revision,
		callers:  callersOf(account),
		blocks:   old.blocksOf(account),
		order:    newRegionOrder(account),
		metrics:  l.metricsOf(account.Name),
	}
	l.current.Store(&next)
	l.options.Logger.WithField("account", string(account.Name)).WithField("revision", account.Revision).
		Debug("lookup: account in force")
}

// RemoveAccount takes an account out of force.
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

// SetVMs puts a reading of the VM list in force. VMs that it shows as leaving
// are in no answer.
func (l *Lookup) SetVMs(list membership.List) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.list = list
	l.swapEntries()
}

// SetLeaving says whether this node is in a planned stop. While it is, its
// answers leave the node itself out, before the VM list shows the stop.
func (l *Lookup) SetLeaving(leaving bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.leaving = leaving
	l.swapEntries()
}

// CallerRegion returns the region in which the account places an address. It
// is false for an unknown account or an address in none of its blocks.
func (l *Lookup) CallerRegion(account model.AccountName, addr netip.Addr) (model.RegionName, bool) {
	s := l.current.Load()
	view := s.accounts[account]
	if view == nil {
		return "", false
	}
	return view.blocks.Region(addr)
}

// Lookup fills the answer for a caller, reusing its memory. The code is OK,
// UnknownAccount, UnknownCallerRegion or NoEntryVM; the answer holds VMs only
// when it is OK.
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
