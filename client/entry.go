package client

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// Entry is one entry VM.
type Entry struct {
	ID      string           `json:"id"`
	Address string           `json:"address"`
	Place   model.PlaceName  `json:"place"`
	Region  model.RegionName `json:"region"`
}

// Entries is the answer to a look-up. Values are shared: do not change them.
type Entries struct {
	Account      model.AccountName `json:"account"`
	CallerRegion model.RegionName  `json:"caller_region"`
	// Revision is the configuration the answer was made from.
	Revision   uint64 `json:"revision"`
	LifetimeMs int64  `json:"lifetime_ms"`
	// VMs are in the order in which to try them.
	VMs []Entry `json:"entry_vms"`
}

// Lifetime returns how long the answer may be used without asking again.
func (e *Entries) Lifetime() time.Duration {
	return time.Duration(e.LifetimeMs) * time.Millisecond
}
