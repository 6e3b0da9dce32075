package proxy

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/membership"
	"github.com/yuccaroute/yuccaroute/proxy/balance"
	"github.com/yuccaroute/yuccaroute/proxy/pool"
)

// setTargets replaces the targets; what is known of those that stay is kept.
func (s *placeState) setTargets(list membership.List, key grant.Key, now int64) {
	old := s.targets.Load()
	var members []*target
	for _, vm := range s.ownVMs(list, key) {
		t := old.find(vm.ID, vm.Address)
		if t == nil {
			t = s.newTarget(vm, now)
		}
		t.state.SetListedLeaving(vm.State == membership.StateLeaving)
		members = append(members, t)
	}
	next := newTargetSet(members)
	s.targets.Store(next)
	for _, t := range old.members {
		if next.find(t.id, t.address) == nil {
			t.pool.Close()
		}
	}
	s.line.RefuseLate()
}

// ownVMs returns the VMs of the list that this node uses for the place: all, or
// in a large fleet a part of them, so that the nodes together stay within the
// connections of each. There is always one if the list has any.
func (s *placeState) ownVMs(list membership.List, key grant.Key) []*membership.VM {
	node := s.proxy.options.Node.VM
	share := subsetShare(s.service, s.proxy.options.Nodes())
	var own []*membership.VM
	var lowest *membership.VM
	for i := range list.VMs {
		vm := &list.VMs[i]
		if !serves(vm, key) {
			continue
		}
		if usesTarget(node, vm.ID, share) {
			own = append(own, vm)
		}
		if lowest == nil || drawOf(node, vm.ID) < drawOf(node, lowest.ID) {
			lowest = vm
		}
	}
	if len(own) == 0 && lowest != nil {
		own = append(own, lowest)
	}
	return own
}

func serves(vm *membership.VM, key grant.Key) bool {
	return vm.Role == membership.RoleTarget && vm.Account == key.Account &&
		vm.Service == key.Service && vm.Place == key.Place
}

func (s *placeState) newTarget(vm *membership.VM, now int64) *target {
	nodes := s.proxy.options.Nodes()
	limit := slotLimit(s.service.SlotsPerTarget, nodes, s.wire(), balance.InitialLatency)
	connections := connectionLimit(s.service.ConnectionsPerTarget, nodes)
	t := &target{
		id:      vm.ID,
		address: vm.Address,
		host:    vm.Address.String(),
		field:   []string{vm.ID},
		state:   balance.NewTarget(now, min(limit, connections)),
		pool:    pool.New(vm.Address.String(), s.proxy.options.dial, connections),
	}
	s.keepWarm(t, now)
	return t
}

// keepWarm opens connections before a request needs them: one costs about a
// millisecond and, to another region, two round trips.
func (s *placeState) keepWarm(t *target, now int64) {
	if now < t.warmAt || t.state.Leaving() || t.pool.PruneIdle() >= warmedConnections {
		return
	}
	t.warmAt = now + int64(warmPause)
	s.warming.Go(func() { t.pool.Warm(s.proxy.base, warmedConnections) })
}

// wire returns the network delay to the place and back.
func (s *placeState) wire() time.Duration { return time.Duration(s.roundTrip.Load()) }

// adapt fits the bounds of the targets to the latency measured and the number
// of nodes.
func (s *placeState) adapt(nodes int) {
	connections := connectionLimit(s.service.ConnectionsPerTarget, nodes)
	for _, t := range s.targets.Load().members {
		limit := slotLimit(s.service.SlotsPerTarget, nodes, s.wire(), t.state.Latency())
		t.state.SetLimit(min(limit, connections))
		t.pool.SetLimit(connections)
		s.keepWarm(t, s.proxy.now())
	}
}
