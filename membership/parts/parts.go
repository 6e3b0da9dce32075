// Package parts shards a VM list into a fixed number of parts by a hash of the
// VM's ID, so that a change sends only the part that it affects.
//
// One key per VM would send less, but could not be deleted safely: a lagging
// node would bring a terminated VM back. With a fixed set of keys only the row
// is removed.
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

// Keys under which a list is replicated.
const (
	// Prefix is the common prefix of all keys.
	Prefix = "vms/"
	// HeadKey is the key of the digest of all parts.
	HeadKey = Prefix + "head"
)

// partCount keeps parts to a few rows each for a list of some thousand VMs.
const partCount = 1024

// Bodies maps the keys of the non-empty parts to their encoded rows.
type Bodies map[string][]byte

// Split encodes the parts of a list that is sorted by ID.
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

// Digest returns the sum of the hashes of all parts, which is independent of
// their order.
func (b Bodies) Digest() uint64 {
	var digest uint64
	for key, body := range b {
		digest += Hash(key, body)
	}
	return digest
}

// Hash returns the hash of one part, 0 for an empty one.
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

// Decode decodes a part. It skips and counts invalid rows, such as those with
// values of a newer release.
func Decode(body []byte) (vms []membership.VM, skipped int, err error) {
	message := &peerpb.ListRows{}
	if err := proto.Unmarshal(body, message); err != nil {
		return nil, 0, errors.Wrap(err, "membership: decode rows")
	}
	for _, row := range message.GetRows() {
		vm, ok := fromRow(row)
		if !ok {
			skipped++
			continue
		}
		vms = append(vms, vm)
	}
	return vms, skipped, nil
}

// EncodeHead returns the body stored under HeadKey.
func EncodeHead(digest uint64) ([]byte, error) {
	body, err := proto.Marshal(&peerpb.ListHead{Digest: digest})
	return body, errors.Wrap(err, "membership: encode the digest")
}

// DecodeHead returns the digest encoded by EncodeHead.
func DecodeHead(body []byte) (uint64, error) {
	head := &peerpb.ListHead{}
	err := proto.Unmarshal(body, head)
	return head.GetDigest(), errors.Wrap(err, "membership: decode the digest")
}

func keyOf(vm string) string {
	return fmt.Sprintf("%s%03x", Prefix, xxhash.Sum64String(vm)%partCount)
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
	address, addressOK := decodeAddress(row.GetAddress())
	peer, peerOK := decodeAddress(row.GetPeer())
	vm.Address, vm.Peer = address, peer
	return vm, known && addressOK && peerOK && vm.ID != ""
}

func decodeAddress(body []byte) (address netip.AddrPort, ok bool) {
	if len(body) == 0 {
		return address, true
	}
	err := address.UnmarshalBinary(body)
	return address, err == nil
}
