package lookup

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// EntryVM is one entry VM in an Answer.
type EntryVM struct {
	ID string `json:"id"`
	// Address is IP:port.
	Address string           `json:"address"`
	Place   model.PlaceName  `json:"place"`
	Region  model.RegionName `json:"region"`
}

// Answer lists the entry VMs for a caller in order of preference. Reusing an
// Answer between look-ups avoids allocations.
type Answer struct {
	Account      model.AccountName `json:"account"`
	CallerRegion model.RegionName  `json:"caller_region"`
	// Revision is the revision of the account that was used.
	Revision uint64 `json:"revision"`
	// LifetimeMS is how long the caller may use the answer, in milliseconds.
	LifetimeMS int64     `json:"lifetime_ms"`
	EntryVMs   []EntryVM `json:"entry_vms"`
}

// Lifetime returns how long the caller may use the answer.
func (a *Answer) Lifetime() time.Duration { return time.Duration(a.LifetimeMS) * time.Millisecond }
