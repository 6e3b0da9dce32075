package lookup

import (
	"github.com/uber-go/tally/v4"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/lookup/blocks"
)

// snapshot is what one look-up reads. It is never changed once published.
type snapshot struct {
	accounts map[model.AccountName]*accountView
	entries  *entries
}

// accountView is one account as look-ups need it. It does not keep the account:
// its list of blocks is larger than the table made from it.
type accountView struct {
	revision uint64
	callers  callers
	blocks   *blocks.View
	order    regionOrder
	metrics  *accountMetrics
}

// accountMetrics outlives the revisions of its account.
type accountMetrics struct {
	answered tally.Counter
	refused  tally.Counter
	duration tally.Histogram
}
