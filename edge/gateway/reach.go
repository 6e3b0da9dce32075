package gateway

import (
	"context"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/edge/placing"
	"github.com/yuccaroute/yuccaroute/edge/reach"
	"github.com/yuccaroute/yuccaroute/proxy/forward"
	"github.com/yuccaroute/yuccaroute/proxy/pool"
)

// reachProbeTimeout bounds a probe that shows whether targets are reached, besides the round-trip time. It
// is long, as busy targets answer late too.
const reachProbeTimeout = 1200 * time.Millisecond

// groupOf returns the group of a target.
func groupOf(t *placing.Target) reach.Group { return reach.Group{Service: t.Service, Region: t.Region} }

// updateGroups tells the tracker which groups have targets.
func (g *Gateway) updateGroups(now time.Time) {
	targets := make(map[reach.Group]int)
	g.options.Balancer.CountTargets(func(service, region string, n int) {
		if n > 0 {
			targets[reach.Group{Service: service, Region: region}] = n
		}
	})
	g.reach.SetGroups(now, targets)
}

// dialTarget returns a dial function that records whether connections can be opened.
func (g *Gateway) dialTarget(t *placing.Target) pool.Dial {
	dial := g.options.Dial(g.options.RTT(t.Region))
	group, target := groupOf(t), t.Incarnation
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		switch {
		case err == nil:
			g.reach.Connected(group)
		case ctx.Err() == nil:
			g.reach.NotConnected(time.Now(), group, target)
		}
		return conn, err
	}
}

// reachEnd returns the end of an attempt that the tracker is told.
func reachEnd(ctx context.Context, a attempt) reach.End {
	switch {
	case a.answer != nil:
		return reach.Answered
	case ctx.Err() != nil:
		return reach.Abandoned
	case a.code == result.ConnectionLost || a.code == result.DeadlineAfterSend:
		return reach.Lost
	case a.code == result.ConnectFailed || a.code == result.DeadlineBeforeSend || a.code == result.CallerGone:
		return reach.Abandoned
	}
	return reach.Answered
}

// CheckReach finds the groups of targets that this VM does not reach. It is called periodically.
func (g *Gateway) CheckReach(ctx context.Context, healthPath func(service string) string) {
	changes, rounds := g.reach.Tick(time.Now())
	g.reachChanged(changes)
	for _, round := range rounds {
		go g.probeGroup(ctx, round, healthPath(round.Group.Service))
	}
}

// probeGroup runs one round of probes.
func (g *Gateway) probeGroup(ctx context.Context, round reach.Round, path string) {
	targets := g.options.Balancer.TargetsToProbe(time.Now(), round.Group.Service, round.Group.Region, round.Targets, round.Number)
	results := make(chan reach.Probes, len(targets))
	for _, t := range targets {
		go func() { results <- g.probeOnNewConnection(ctx, t, path) }()
	}
	sum := reach.Probes{Asked: len(targets)}
	for range targets {
		p := <-results
		sum.Connected += p.Connected
		sum.Answered += p.Answered
	}
	g.reachChanged(g.reach.Probed(time.Now(), round.Group, sum))
}

// probeOnNewConnection probes a target. Any answer counts, also that of a target that is not healthy.
func (g *Gateway) probeOnNewConnection(ctx context.Context, t *placing.Target, path string) (p reach.Probes) {
	limit := reachProbeTimeout + g.options.RTT(t.Region)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	raw, err := g.dialTarget(t)(ctx, t.Address)
	if err != nil {
		return p
	}
	p.Connected = 1
	conn := forward.NewConn(raw)
	defer conn.Close()
	if _, err := g.exchangeProbe(ctx, t, path, conn, limit); err == nil {
		p.Answered = 1
	}
	return p
}

// reachChanged logs changes of what this VM reaches.
func (g *Gateway) reachChanged(changes []reach.Change) {
	for _, c := range changes {
		g.options.Logger.WithFields(logrus.Fields{
			"service": c.Group.Service, "region": c.Group.Region, "phase": c.Phase.String(), "was": c.Previous.String(),
			"lasted_ms": c.Lasted.Milliseconds(), "heard_age_ms": c.HeardAge.Milliseconds(),
			"lost": c.Lost, "overdue": c.Overdue, "refused": c.Refused,
			"probes": c.Probes.Asked, "probes_connected": c.Probes.Connected, "probes_answered": c.Probes.Answered,
		}).Info("gateway: reach of targets changed")
	}
}

// Reach returns what this VM believes of each group of targets.
func (g *Gateway) Reach(now time.Time) []reach.Status { return g.reach.Statuses(now) }
