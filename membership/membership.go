// Package membership reads the platform's list of VMs. The list lags: a VM it
// shows as live may have ended, and a new one may be missing. A VM that it
// showed and shows no longer is taken for ended after a while; package view
// tells for how long it has been absent. The same VM may be listed twice.
package membership

import (
	"context"
	"net/netip"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// Role tells what runs on a VM.
type Role uint8

// The roles.
const (
	RoleEntry Role = iota
	RoleTarget
)

// State is a VM's state as last listed.
type State uint8

// The states.
const (
	StateLive State = iota
	StateLeaving
)

// VM is one row of the list.
type VM struct {
	ID     string
	Role   Role
	State  State
	Region model.RegionName
	Place  model.PlaceName
	// Account and Service are set for targets only.
	Account model.AccountName
	Service model.ServiceName
	// Address is where callers (entry) or entry VMs (target) connect.
	Address netip.AddrPort
	// Peer is where other nodes connect; entry VMs only.
	Peer netip.AddrPort
}

// List is one reading, sorted by ID without duplicates.
type List struct {
	VMs []VM
	// Epoch grows each time the platform is taken to count anew. The nodes keep
	// it; a Lister leaves it 0.
	Epoch uint64
	// Sequence grows with each change the platform shows.
	Sequence uint64
}

// Later reports whether the list is a newer one than other.
func (l List) Later(other List) bool {
	if l.Epoch != other.Epoch {
		return l.Epoch > other.Epoch
	}
	return l.Sequence > other.Sequence
}

// Lister reads the list. It returns store.ErrUnavailable when the platform
// does not answer.
type Lister interface {
	List(ctx context.Context) (List, error)
}
