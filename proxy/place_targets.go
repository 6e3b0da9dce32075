package proxy

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/membership"
	"github.com/yuccaroute/yuccaroute/proxy/balance"
	"github.com/yuccaroute/yuccaroute/proxy/pool"
)

// setTargets replaces the targets and keeps the state of those that remain.
func (s *placeState) setTargets(list membership.List, key grant.Key, now int64) {
	old := s.targets.Load()
	var members []*target
	for _, vm := range s.selectVMs(list, key) {
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
	s.queue.RefuseLate()
}

// selectVMs returns the VMs that this node uses as targets: all of the place,
// or in a large fleet a subset that keeps each VM within its connection limit.
// It returns at least one if the list has any.
func (s *placeState) selectVMs(list membership.List, key grant.Key) []*membership.VM {
	node := s.proxy.options.Node.VM
	share := subsetShare(s.service, s.proxy.options.Nodes())
	var own []*membership.VM
	var lowest *membership.VM
	for i := range list.VMs {
		vm := &list.VMs[i]
		if !isTargetOf(vm, key) {
			continue
		}
		if usesTarget(node, vm.ID, share) {
			own = append(own, vm)
		}
		if lowest == nil || targetHash(node, vm.ID) < targetHash(node, lowest.ID) {
			lowest = vm
		}
	}
	if len(own) == 0 && lowest != nil {
		own = append(own, lowest)
	}
	return own
}

func isTargetOf(vm *membership.VM, key grant.Key) bool {
	return vm.Role == membership.RoleTarget && vm.Account == key.Account &&
		vm.Service == key.Service && vm.Place == key.Place
}

func (s *placeState) newTarget(vm *membership.VM, now int64) *target {
	nodes := s.proxy.options.Nodes()
	limit := slotLimit(s.service.SlotsPerTarget, nodes, s.networkRTT(), balance.InitialLatency)
	connections := connectionLimit(s.service.ConnectionsPerTarget, nodes)
	t := &target{
		id:          vm.ID,
		address:     vm.Address,
		host:        vm.Address.String(),
		headerValue: []string{vm.ID},
		state:       balance.NewTarget(now, min(limit, connections)),
		pool:        pool.New(vm.Address.String(), s.proxy.options.dial, connections),
	}
	s.keepWarm(t, now)
	return t
}

// keepWarm opens connections ahead of demand, so that requests do not wait for
// the connection setup.
func (s *placeState) keepWarm(t *target, now int64) {
	if now < t.nextWarm || t.state.Leaving() || t.pool.PruneIdle() >= warmConnections {
		return
	}
	t.nextWarm = now + int64(warmInterval)
	s.warming.Go(func() { t.pool.Warm(s.proxy.baseContext, warmConnections) })
}

func (s *placeState) networkRTT() time.Duration { return time.Duration(s.roundTrip.Load()) }

// updateLimits adjusts the limits of the targets to the measured latency and
// the number of nodes.
func (s *placeState) updateLimits(nodes int) {
	connections := connectionLimit(s.service.ConnectionsPerTarget, nodes)
	for _, t := range s.targets.Load().members {
		limit := slotLimit(s.service.SlotsPerTarget, nodes, s.networkRTT(), t.state.Latency())
		t.state.SetLimit(min(limit, connections))
		t.pool.SetLimit(connections)
		s.keepWarm(t, s.proxy.now())
	}
}
