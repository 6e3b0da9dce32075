package topology

import (
	"github.com/cespare/xxhash/v2"

	"github.com/yuccaroute/yuccaroute/membership"
)

// Member is an entry VM of the VM list.
type Member struct {
	VM            string
	Region        string
	FailureDomain string
	Address       string
	// Leaving VMs keep their upstreams but are not selected for any role.
	Leaving bool
}

// FromList returns the entry VMs of a list that have a peer address.
func FromList(list membership.List) []Member {
	out := make([]Member, 0, len(list.VMs))
	for i := range list.VMs {
		vm := &list.VMs[i]
		if vm.Role != membership.RoleEntry || !vm.Peer.IsValid() {
			continue
		}
		out = append(out, Member{
			VM:            vm.ID,
			Region:        string(vm.Region),
			FailureDomain: string(vm.Place),
			Address:       vm.Peer.String(),
			Leaving:       vm.State == membership.StateLeaving,
		})
	}
	return out
}

// score is the rendezvous score of a VM for a task; the highest wins. A VM that
// joins or leaves affects only the selections that it wins.
func score(task, vm string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(task)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(vm)
	return d.Sum64()
}
