package proxy

import (
	"maps"
	"sync/atomic"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
	"github.com/yuccaroute/yuccaroute/proxy/buffer"
)

// PlaceChooser chooses the place of the next request of one flow by the
// shares in force. It returns "" when no place has a share.
type PlaceChooser interface {
	Next() model.PlaceName
}

// snapshot is what requests read. It is never changed once stored.
type snapshot struct {
	accounts map[model.AccountName]*accountView
}

// with returns a copy of the snapshot with one account replaced.
func (s *snapshot) with(v *accountView) *snapshot {
	next := maps.Clone(s.accounts)
	if next == nil {
		next = make(map[model.AccountName]*accountView)
	}
	next[v.account.Name] = v
	return &snapshot{accounts: next}
}

// accountView is one account in force.
type accountView struct {
	account  *model.Account
	services map[model.ServiceName]*serviceView
	bytes    *buffer.Share
	inFlight *buffer.Share
	// held tells that the move cap keeps traffic from where the plan wants it.
	held bool
}

// serviceView is one service in force.
type serviceView struct {
	service *model.Service
	state   *serviceState
	flows   map[model.RegionName]*flowView
	places  map[model.PlaceName]*placeState
}

// flowView is the traffic of a service from callers of one region.
type flowView struct {
	chooser PlaceChooser
	// shares are those the chooser goes by.
	shares    []plan.Share
	elsewhere *elsewhere
	offered   *atomic.Uint64
}
