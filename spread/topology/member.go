package topology

import (
	"github.com/cespare/xxhash/v2"

	"github.com/yuccaroute/yuccaroute/membership"
)

// Member is an entry VM.
type Member struct {
	VM            string
	Region        string
	FailureDomain string
	Address       string
	// Leaving VMs are served but chosen for no task.
	Leaving bool
}

// FromList returns the entry VMs of a list that name an address for peers.
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

// score is the rendezvous score of a VM for a task; the highest is chosen. A
// VM that joins or leaves changes only choices in which it comes first.
func score(task, vm string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(task)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(vm)
	return d.Sum64()
}
