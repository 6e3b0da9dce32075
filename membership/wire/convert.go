package wire

import (
	"net/netip"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/membership"
)

// Values of the role and state fields.
const (
	roleEntry    = "entry"
	roleTarget   = "target"
	stateLive    = "live"
	stateLeaving = "leaving"
)

// FromVM converts a VM to its message.
func FromVM(vm membership.VM) VM {
	message := VM{
		ID:      vm.ID,
		Role:    roleEntry,
		State:   stateLive,
		Region:  string(vm.Region),
		Place:   string(vm.Place),
		Account: string(vm.Account),
		Service: string(vm.Service),
		Address: formatAddress(vm.Address),
		Peer:    formatAddress(vm.Peer),
	}
	if vm.Role == membership.RoleTarget {
		message.Role = roleTarget
	}
	if vm.State == membership.StateLeaving {
		message.State = stateLeaving
	}
	return message
}

// VM converts the message; the error names the invalid field.
func (m VM) VM() (membership.VM, error) {
	vm := membership.VM{
		ID:      m.ID,
		Region:  model.RegionName(m.Region),
		Place:   model.PlaceName(m.Place),
		Account: model.AccountName(m.Account),
		Service: model.ServiceName(m.Service),
	}
	if m.ID == "" {
		return vm, errors.New("membership: VM without an ID")
	}
	var err error
	if vm.Role, err = parseRole(m.Role); err != nil {
		return vm, errors.WithMessagef(err, "membership: VM %s", m.ID)
	}
	if vm.State, err = parseState(m.State); err != nil {
		return vm, errors.WithMessagef(err, "membership: VM %s", m.ID)
	}
	if vm.Address, err = netip.ParseAddrPort(m.Address); err != nil {
		return vm, errors.WithMessagef(err, "membership: address of VM %s", m.ID)
	}
	if m.Peer == "" {
		return vm, nil
	}
	vm.Peer, err = netip.ParseAddrPort(m.Peer)
	return vm, errors.WithMessagef(err, "membership: peer address of VM %s", m.ID)
}

func parseRole(role string) (membership.Role, error) {
	switch role {
	case roleEntry:
		return membership.RoleEntry, nil
	case roleTarget:
		return membership.RoleTarget, nil
	default:
		return 0, errors.Errorf("unknown role %q", role)
	}
}

func parseState(state string) (membership.State, error) {
	switch state {
	case stateLive:
		return membership.StateLive, nil
	case stateLeaving:
		return membership.StateLeaving, nil
	default:
		return 0, errors.Errorf("unknown state %q", state)
	}
}

func formatAddress(address netip.AddrPort) string {
	if !address.IsValid() {
		return ""
	}
	return address.String()
}
