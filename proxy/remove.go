package proxy

import (
	"maps"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// RemoveAccount takes an account out of force: new requests for it are refused
// as not run; those in hand go on. Its limits are kept, so that an account that
// returns does not start with full buckets.
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
