package steering

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// Kind identifies the cause of a share or of a move.
type Kind uint8

// The kinds, each with the Value and Limit of its Reason. The numbers are stored
// with moves, so new kinds go to the end.
const (
	// KindNone is no cause.
	KindNone Kind = iota
	// KindLatency: the place has the lowest latency. Round trip plus service time
	// of this place and of the fastest one, in ms.
	KindLatency
	// KindHeadroom: traffic is spread to keep headroom. Utilisation and its target.
	KindHeadroom
	// KindCapacity: the place is full. Load and capacity of its stable targets, in
	// requests/s.
	KindCapacity
	// KindRegion: the region is full. Load and capacity, requests/s.
	KindRegion
	// KindLink: the link into the region is full. Load and capacity, requests/s.
	KindLink
	// KindMoveCap: the move cap holds back a move. Part of the flow moved within
	// the window, with the charge for lagging nodes, and the cap, 0 to 1.
	KindMoveCap
	// KindCold: the place takes more load in steps only. Load added within the step
	// interval and its maximum, in requests/s.
	KindCold
	// KindSlow: the place is slower than when warm. P99 and the P99 up to which it
	// takes more traffic, in ms.
	KindSlow
	// KindDrain: a planned drain empties the place. Part of the flow still there.
	// Wait is the time to the end of the drain.
	KindDrain
	// KindDrainLate: the move cap delays the end of a drain. Part of the flow left
	// at the scheduled end. Wait is the delay.
	KindDrainLate
	// KindStale: a measurement is too old for an increase. Its age and the maximum
	// age, in s.
	KindStale
	// KindUnknown: the place is not measured yet and takes a small share only. Share
	// and its maximum, 0 to 1.
	KindUnknown
	// KindFailure: the place fails. Failing part and the part from which a place
	// takes no more traffic, 0 to 1.
	KindFailure
	// KindHoldDown: traffic left because of a failure and does not return yet. Wait
	// is the remaining time.
	KindHoldDown
	// KindRemoved: the configuration has no such place for the service.
	KindRemoved
	// KindBusy: the utilisation of the place, its region or its link makes another
	// place cheaper. Utilisation and its target.
	KindBusy
	kindCount
)

var kindNames = [kindCount]string{
	"none", "latency", "headroom", "capacity", "region", "link", "move-cap",
	"cold", "slow", "drain", "drain-late", "stale", "unknown", "failure",
	"hold-down", "removed", "busy",
}

// String returns the name used in the administration API and in metrics.
func (k Kind) String() string {
	if k < kindCount {
		return kindNames[k]
	}
	return "invalid"
}

// Reason is one cause with its values, whose meaning depends on the Kind.
type Reason struct {
	Kind    Kind
	Service model.ServiceName
	Caller  model.RegionName
	// Place is empty for a cause that concerns the whole flow.
	Place        model.PlaceName
	Value, Limit float64
	Wait         time.Duration
}
