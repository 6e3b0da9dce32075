package proxy

import (
	"maps"
	"sync/atomic"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
	"github.com/yuccaroute/yuccaroute/proxy/buffer"
)

// PlaceChooser chooses the place of the next request of one flow by the current
// shares. Next returns "" if no place has a share.
type PlaceChooser interface {
	Next() model.PlaceName
}

// snapshot is the immutable state that requests read.
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

// accountView is one account in a snapshot.
type accountView struct {
	account  *model.Account
	services map[model.ServiceName]*serviceView
	bytes    *buffer.Share
	inFlight *buffer.Share
	// moveCapped is set while the move cap keeps the shares from reaching the
	// plan.
	moveCapped bool
}

// serviceView is one service in a snapshot.
type serviceView struct {
	service *model.Service
	state   *serviceState
	flows   map[model.RegionName]*flowView
	places  map[model.PlaceName]*placeState
}

// flowView is the traffic of a service from callers of one region.
type flowView struct {
	chooser PlaceChooser
	// shares are those that the chooser uses.
	shares      []plan.Share
	relocations *relocationBudget
	offered     *atomic.Uint64
}
