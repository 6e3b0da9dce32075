package lookup

import (
	"github.com/uber-go/tally/v4"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/lookup/blocks"
)

// snapshot is the immutable state that look-ups read.
type snapshot struct {
	accounts map[model.AccountName]*accountView
	entries  *entryIndex
}

// accountView holds what look-ups need of an account. It does not retain the
// model.Account, whose list of blocks is larger than the table built from it.
type accountView struct {
	revision uint64
	callers  callerSource
	blocks   *blocks.View
	order    regionOrder
	metrics  *accountMetrics
}

// accountMetrics is kept across revisions of its account.
type accountMetrics struct {
	answered tally.Counter
	refused  tally.Counter
	duration tally.Histogram
}
