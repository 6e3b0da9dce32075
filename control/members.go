package control

import (
	"sort"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/control/campaign"
	"github.com/yuccaroute/yuccaroute/control/ledger"
	"github.com/yuccaroute/yuccaroute/membership"
)

// listed returns the entry VMs as the ledger reads them. Leaving VMs count:
// they hold grants until they hand them back.
func (s *System) listed() (vms []ledger.Listed, sequence uint64, age time.Duration, ok bool) {
	list, age, ok := s.options.Members()
	if !ok {
		return nil, 0, 0, false
	}
	for i := range list.VMs {
		vm := &list.VMs[i]
		if vm.Role == membership.RoleEntry {
			vms = append(vms, ledger.Listed{VM: vm.ID, Address: vm.Peer.String()})
		}
	}
	return vms, max(list.Sequence, 1), age, true
}

// candidates returns the VMs that may decide.
func (s *System) candidates() []string {
	list, _, ok := s.options.Members()
	if !ok {
		return nil
	}
	var names []string
	for i := range list.VMs {
		if list.VMs[i].Role == membership.RoleEntry && list.VMs[i].State == membership.StateLive {
			names = append(names, list.VMs[i].ID)
		}
	}
	return names
}

// lenders returns the live nodes of this node's region, in an order of its
// own, so that not all borrowers ask the same one.
func (s *System) lenders() []*peerpb.NodeRef {
	list, _, ok := s.options.Members()
	if !ok {
		return nil
	}
	region := model.RegionName(s.options.Ref.Region)
	refs := make(map[string]*peerpb.NodeRef)
	var names []string
	for i := range list.VMs {
		vm := &list.VMs[i]
		if vm.Role != membership.RoleEntry || vm.Region != region || vm.ID == s.options.Node.VM {
			continue
		}
		names = append(names, vm.ID)
		refs[vm.ID] = &peerpb.NodeRef{Vm: vm.ID, PeerAddress: vm.Peer.String(), Region: string(vm.Region)}
	}
	var ordered []*peerpb.NodeRef
	for _, name := range campaign.RankOrder(s.options.Node.VM, names) {
		ordered = append(ordered, refs[name])
	}
	return ordered
}

func sortStatus(all []AccountStatus) {
	sort.Slice(all, func(i, j int) bool { return all[i].Account < all[j].Account })
}
