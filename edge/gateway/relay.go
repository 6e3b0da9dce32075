package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/api/wait"
	"github.com/yuccaroute/yuccaroute/edge/owners"
	"github.com/yuccaroute/yuccaroute/edge/reach"
	"github.com/yuccaroute/yuccaroute/edge/site"
)

const (
	// maxRelays bounds the VMs that are asked to place one request.
	maxRelays = 4
	// maxSlowRelays bounds the VMs that are asked to place one request although they are busy, and
	// maxForOthers the requests that a busy VM places for others at a time: its processor is to be left to
	// its own callers.
	maxSlowRelays = 2
	maxForOthers  = 16
	// versionPause is how long to wait for VMs to agree on a new configuration before they are asked again.
	versionPause = 50 * time.Millisecond
	// busyTime is how long a VM whose processor is busy takes requests of other VMs only as the last resort.
	busyTime = 500 * time.Millisecond
)

// reason is why a request is delegated.
type reason string

// Reasons to delegate a request.
const (
	// byAffinity: the other VM owns the affinity key.
	byAffinity reason = "affinity"
	// byReach: the sender does not reach the targets, or reaches them again only since a short time.
	byReach reason = "reach"
	// byReachLast: as byReach, and all VMs that reach the targets are busy.
	byReachLast reason = "reach-last"
)

// relaysFirst reports whether other VMs are to place a request that this VM could try to place itself.
func (g *Gateway) relaysFirst(r *request) bool {
	return !r.fromPeer && g.reach.RelaysFirst(time.Now(), r.service, r.placement.Allowed, r.placement.Key)
}

// relay asks VMs that reach targets of a request to place it, one after the other. It returns false if none
// has, and the request has not run or may run again.
func (g *Gateway) relay(ctx context.Context, r *request) (outcome, bool) {
	if r.fromPeer || r.onTrial || g.options.Owners == nil {
		return outcome{}, false
	}
	for ; r.relays < maxRelays; r.relays++ {
		g.followConfig(r)
		o := g.chooseRelay(r)
		if o == nil {
			return outcome{}, false
		}
		end, done := g.delegate(ctx, r, o, byReach)
		if done {
			return end, true
		}
		if r.declinedFor != otherVersion {
			r.asked = append(r.asked, o)
		} else if !wait.For(ctx, versionPause) {
			return g.contextOutcome(ctx, r), true
		}
	}
	return outcome{}, false
}

// relayToSlow asks VMs that reach targets of a request and are busy, or whose answers are late. Its results
// are those of relay. Declining requests protects a VM's own callers while another VM can take them; where
// all are busy, requests would be refused although targets are free.
func (g *Gateway) relayToSlow(ctx context.Context, r *request) (outcome, bool) {
	if r.fromPeer || r.onTrial || g.options.Owners == nil {
		return outcome{}, false
	}
	var asked []*owners.Owner
	for range maxSlowRelays {
		g.followConfig(r)
		o := g.options.Owners.SlowRelay(r.placement.Key, time.Now(), g.groupsOf(r), func(o *owners.Owner) bool {
			return !slices.Contains(asked, o) && r.bodyMayGoTo(o.VM)
		})
		if o == nil {
			return outcome{}, false
		}
		if end, done := g.delegate(ctx, r, o, byReachLast); done {
			return end, true
		}
		asked = append(asked, o)
	}
	return outcome{}, false
}

// followConfig matches a request that no target has got with the current configuration: VMs decline those
// that were matched with an earlier one.
func (g *Gateway) followConfig(r *request) {
	table := g.table.Load()
	if table.Version == r.version || r.attempts > 0 {
		return
	}
	entry := table.Match(r.in.Host, r.in.Path)
	if entry == nil {
		return
	}
	r.version, r.route = table.Version, entry
	g.prepare(r)
}

// chooseRelay returns the VM to ask next, nil if there is none.
func (g *Gateway) chooseRelay(r *request) *owners.Owner {
	return g.options.Owners.Relay(r.placement.Key, time.Now(), g.groupsOf(r), func(o *owners.Owner) bool {
		return !r.hasAsked(o) && r.bodyMayGoTo(o.VM)
	})
}

// groupsOf returns the IDs of the groups of targets that may run a request.
func (g *Gateway) groupsOf(r *request) (groups []uint32) {
	for _, region := range g.options.Balancer.UsableRegions(&r.placement) {
		groups = append(groups, reach.Group{Service: r.service, Region: region}.ID())
	}
	return groups
}

func (r *request) hasAsked(o *owners.Owner) bool {
	for _, asked := range r.asked {
		if asked == o {
			return true
		}
	}
	return false
}

// bodyMayGoTo reports whether a request may be passed to a VM: a body may only go to regions that may run
// the request.
func (r *request) bodyMayGoTo(vm site.VM) bool {
	return len(r.in.Body) == 0 || r.placement.Allowed == nil || r.placement.Allowed(vm.Region)
}

// Busy records that the processor of this VM is busy: for a while it takes relayed requests only if no other
// VM does.
func (g *Gateway) Busy(now time.Time) {
	until := now.Add(busyTime)
	if old := g.busyUntil.Swap(&until); old == nil || now.After(*old) {
		g.options.Logger.WithFields(logrus.Fields{"for_ms": busyTime.Milliseconds()}).Warn("gateway: processor busy, few requests taken for other VMs")
	}
}

// takeForOthers reports whether this VM takes a request that another VM delegates for a reason. If so, done
// must be called at its end.
func (g *Gateway) takeForOthers(why reason) (done func(), ok bool) {
	if why != byReach && why != byReachLast {
		return func() {}, true
	}
	n := g.forOthers.Add(1)
	done = func() { g.forOthers.Add(-1) }
	if g.isBusy(time.Now()) && (why == byReach || n > maxForOthers) {
		done()
		return nil, false
	}
	return done, true
}

func (g *Gateway) isBusy(now time.Time) bool {
	until := g.busyUntil.Load()
	return until != nil && now.Before(*until)
}

// IsRelaying reports whether requests may have to be passed to other VMs.
func (g *Gateway) IsRelaying() bool { return g.reach.IsRelaying() }

// Unreached returns the IDs of the groups of targets that this VM does not reach, and whether these are
// all.
func (g *Gateway) Unreached() (ids []uint32, all bool) { return g.reach.Unreached() }
