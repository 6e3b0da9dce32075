package lookup

import (
	"net/netip"

	"github.com/uber-go/tally/v4"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/lookup/blocks"
)

// snapshot is what one look-up reads. It is never changed once published.
type snapshot struct {
	accounts map[model.AccountName]*accountView
	table    *blocks.Table
	entries  *entries
}

// accountView is one account as look-ups need it.
type accountView struct {
	account *model.Account
	// source is the account's number in the block table.
	source  int
	order   regionOrder
	metrics *accountMetrics
}

// accountMetrics outlives the revisions of its account.
type accountMetrics struct {
	answered tally.Counter
	refused  tally.Counter
	duration tally.Histogram
}

func (s *snapshot) region(view *accountView, addr netip.Addr) (model.RegionName, bool) {
	return s.table.Region(view.source, addr)
}
