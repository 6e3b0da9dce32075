// Package parts divides a VM list into a fixed number of parts, by a hash of the
// VM's name, so that a change sends the part it is in and not the whole list.
//
// A key for each VM would send a little less, but the key of a VM that ended
// could never be removed: a node that lags would bring the VM back. The parts
// stay; the row goes.
package parts

import (
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/membership"
)

// The keys under which a list is spread.
const (
	// Prefix begins all of them.
	Prefix = "vms/"
	// HeadKey holds the digest over all parts.
	HeadKey = Prefix + "head"
)

// count is the number of parts: with 1,350 VMs a part holds 1.3 rows, and the
// part of a VM that changed 2.3.
const count = 1024

// Bodies are the parts that hold rows, by key.
type Bodies map[string][]byte

// Split divides a list that is sorted by ID.
func Split(vms []membership.VM) (Bodies, error) {
	rows := map[string]*peerpb.ListRows{}
	for _, vm := range vms {
		key := keyOf(vm.ID)
		if rows[key] == nil {
			rows[key] = &peerpb.ListRows{}
		}
		row, err := toRow(vm)
		if err != nil {
			return nil, err
		}
		rows[key].Rows = append(rows[key].Rows, row)
	}
	bodies := make(Bodies, len(rows))
	for key, message := range rows {
		body, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
		if err != nil {
			return nil, errors.Wrap(err, "membership: encode rows")
		}
		bodies[key] = body
	}
	return bodies, nil
}

// Digest is the sum of the hashes of all parts; it is the same for lists with
// the same rows.
func (b Bodies) Digest() uint64 {
	var digest uint64
	for key, body := range b {
		digest += Hash(key, body)
	}
	return digest
}

// Hash is the hash of one part; one without rows counts as none.
func Hash(key string, body []byte) uint64 {
	if len(body) == 0 {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write(body)
	return d.Sum64()
}

// Decode decodes a part. Decode that can't be read are left out and counted: one
// of a newer release must not hide all others.
func Decode(body []byte) (vms []membership.VM, unread int, err error) {
	message := &peerpb.ListRows{}
	if err := proto.Unmarshal(body, message); err != nil {
		return nil, 0, errors.Wrap(err, "membership: decode rows")
	}
	for _, row := range message.GetRows() {
		vm, ok := fromRow(row)
		if !ok {
			unread++
			continue
		}
		vms = append(vms, vm)
	}
	return vms, unread, nil
}

// EncodeHead returns the body under HeadKey.
func EncodeHead(digest uint64) ([]byte, error) {
	body, err := proto.Marshal(&peerpb.ListHead{Digest: digest})
	return body, errors.Wrap(err, "membership: encode the digest")
}

// DecodeHead returns the digest that EncodeHead was given.
func DecodeHead(body []byte) (uint64, error) {
	head := &peerpb.ListHead{}
	err := proto.Unmarshal(body, head)
	return head.GetDigest(), errors.Wrap(err, "membership: decode the digest")
}

func keyOf(vm string) string {
	return fmt.Sprintf("%s%03x", Prefix, xxhash.Sum64String(vm)%count)
}

func toRow(vm membership.VM) (*peerpb.ListRow, error) {
	row := &peerpb.ListRow{
		Vm:      vm.ID,
		Role:    uint32(vm.Role),
		State:   uint32(vm.State),
		Region:  string(vm.Region),
		Place:   string(vm.Place),
		Account: string(vm.Account),
		Service: string(vm.Service),
	}
	var err error
	if row.Address, err = vm.Address.MarshalBinary(); err != nil {
		return nil, errors.Wrapf(err, "membership: address of VM %s", vm.ID)
	}
	row.Peer, err = vm.Peer.MarshalBinary()
	return row, errors.Wrapf(err, "membership: peer address of VM %s", vm.ID)
}

func fromRow(row *peerpb.ListRow) (membership.VM, bool) {
	vm := membership.VM{
		ID:      row.GetVm(),
		Role:    membership.Role(row.GetRole()),
		State:   membership.State(row.GetState()),
		Region:  model.RegionName(row.GetRegion()),
		Place:   model.PlaceName(row.GetPlace()),
		Account: model.AccountName(row.GetAccount()),
		Service: model.ServiceName(row.GetService()),
	}
	known := row.GetRole() <= uint32(membership.RoleTarget) && row.GetState() <= uint32(membership.StateLeaving)
	address, first := readAddress(row.GetAddress())
	peer, second := readAddress(row.GetPeer())
	vm.Address, vm.Peer = address, peer
	return vm, known && first && second && vm.ID != ""
}

func readAddress(body []byte) (address netip.AddrPort, ok bool) {
	if len(body) == 0 {
		return address, true
	}
	err := address.UnmarshalBinary(body)
	return address, err == nil
}
