package demo

import (
	"context"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/bench/check"
	"github.com/yuccaroute/yuccaroute/membership"
)

// emptyPoll is how often a leaving target is asked whether it is empty.
const emptyPoll = 5 * time.Millisecond

// Drained tells how long one planned stop took, from its start to empty.
type Drained struct {
	VM   string
	Took time.Duration
}

// drainTarget begins the planned stop of a target and measures it. Only the VM
// list tells of it: the target itself goes on taking work, so that the checker
// sees whether the system stops sending.
func (r *run) drainTarget(ctx context.Context, t *runningTarget) {
	began := time.Now()
	t.vm.State = membership.StateLeaving
	r.world.Platform.SetVMs(t.vm)
	r.addLeaving(check.Leaving{Target: t.vm.ID, At: began})
	r.events.Go(func() {
		if err := waitEmpty(ctx, t); err != nil {
			return
		}
		r.addDrained(Drained{VM: t.vm.ID, Took: time.Since(began) - emptyFor})
	})
}

// emptyFor is how long a target must have had no work to count as empty.
const emptyFor = 2 * time.Second

// waitEmpty returns when a target has had nothing in hand for emptyFor.
func waitEmpty(ctx context.Context, t *runningTarget) error {
	since := time.Now()
	for time.Since(since) < emptyFor {
		if t.target.Load() > 0 {
			since = time.Now()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(emptyPoll):
		}
	}
	return nil
}

// returnTarget ends a planned stop.
func (r *run) returnTarget(t *runningTarget) {
	r.endLeaving(t.vm.ID, time.Now())
	t.vm.State = membership.StateLive
	r.world.Platform.SetVMs(t.vm)
}

// stopEntry stops an entry VM as planned, measures it and removes it from the
// list when it is empty.
func (r *run) stopEntry(ctx context.Context, t *Tenant, index int) {
	n := t.Nodes[index]
	vm := n.VM()
	vm.State = membership.StateLeaving
	r.world.Platform.SetVMs(vm)
	r.addStopped(vm.ID, time.Now())
	r.events.Go(func() {
		began := time.Now()
		if err := n.Leave(ctx); err != nil {
			return
		}
		r.addDrained(Drained{VM: vm.ID, Took: time.Since(began)})
		r.world.Platform.RemoveVMs(vm.ID)
	})
}

// loseFailureDomain ends all targets and entry VMs of a place at once. The VM
// list shows it after its lag.
func (r *run) loseFailureDomain(t *Tenant, place model.PlaceName) {
	var lost []string
	for _, n := range t.Nodes {
		if n.VM().Place == place {
			lost = append(lost, n.VM().ID)
			n.Kill()
			t.network.lose(n.VM().Peer.String())
		}
	}
	for _, target := range t.Targets {
		if target.vm.Place == place {
			lost = append(lost, target.vm.ID)
			target.end()
			t.network.lose(target.vm.Address.String())
		}
	}
	r.world.Platform.RemoveVMs(lost...)
}
