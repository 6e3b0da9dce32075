package proxy

import (
	"maps"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// RemoveAccount removes an account. New requests for it are refused as not run;
// those in flight continue. Its buckets are kept, so that an account that is
// added again does not start with full ones.
func (p *Proxy) RemoveAccount(name model.AccountName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.accounts[name]
	if s == nil {
		return
	}
	s.account = nil
	p.current.Store(p.current.Load().without(name))
}

// without returns a copy of the snapshot that lacks one account.
func (s *snapshot) without(name model.AccountName) *snapshot {
	next := maps.Clone(s.accounts)
	delete(next, name)
	return &snapshot{accounts: next}
}
