// Package membership defines the platform's list of VMs. The list is eventually
// consistent: a VM listed as live may have terminated, a new one may be missing,
// and a VM may be listed twice. Package view reports for how long a VM has been
// absent from the list.
package membership

import (
	"context"
	"net/netip"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// Role is the kind of process that a VM runs.
type Role uint8

// Roles of a VM.
const (
	RoleEntry Role = iota
	RoleTarget
)

// State is a VM's state as last listed.
type State uint8

// States of a VM.
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

// List is the VM list as of one read, sorted by ID without duplicates.
type List struct {
	VMs []VM
	// Epoch is incremented by the nodes when the platform's sequence was reset;
	// a Lister leaves it 0.
	Epoch uint64
	// Sequence is the platform's version of the list.
	Sequence uint64
}

// Later reports whether the list is newer than other.
func (l List) Later(other List) bool {
	if l.Epoch != other.Epoch {
		return l.Epoch > other.Epoch
	}
	return l.Sequence > other.Sequence
}

// Lister reads the list from the platform. It returns store.ErrUnavailable when
// the platform does not answer.
type Lister interface {
	List(ctx context.Context) (List, error)
}
