package lookup

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// EntryVM is one entry VM of an answer.
type EntryVM struct {
	ID string `json:"id"`
	// Address is IP:port.
	Address string           `json:"address"`
	Place   model.PlaceName  `json:"place"`
	Region  model.RegionName `json:"region"`
}

// Answer tells a caller which entry VMs to use, best first. Reuse one Answer
// over many look-ups to avoid allocation.
type Answer struct {
	Account      model.AccountName `json:"account"`
	CallerRegion model.RegionName  `json:"caller_region"`
	// Revision is the revision of the account that the answer was made from.
	Revision uint64 `json:"revision"`
	// LifetimeMS is how long the caller may use the answer, in milliseconds.
	LifetimeMS int64     `json:"lifetime_ms"`
	EntryVMs   []EntryVM `json:"entry_vms"`
}

// Lifetime returns how long the caller may use the answer.
func (a *Answer) Lifetime() time.Duration { return time.Duration(a.LifetimeMS) * time.Millisecond }
