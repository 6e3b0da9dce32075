package gateway

import (
	"context"
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/edge/placing"
	"github.com/yuccaroute/yuccaroute/edge/reach"
	"github.com/yuccaroute/yuccaroute/proxy/forward"
	"github.com/yuccaroute/yuccaroute/proxy/pool"
)

// reachProbeTimeout bounds a probe that shows whether targets are reached, besides the round-trip time, and
// patientProbeTimeout one that follows another that was silent: busy targets answer late.
const (
	reachProbeTimeout   = 1200 * time.Millisecond
	patientProbeTimeout = 2 * time.Second
)

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

// dialTarget returns a dial function that records when no connection can be opened.
func (g *Gateway) dialTarget(t *placing.Target) pool.Dial {
	dial := g.options.Dial(g.options.RTT(t.Region))
	group, target := groupOf(t), t.Incarnation
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		if err != nil && ctx.Err() == nil {
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
	limit := reachProbeTimeout
	if round.Patient {
		limit = patientProbeTimeout
	}
	results := make(chan reach.Probes, len(targets))
	for _, t := range targets {
		go func() { results <- g.probeOnNewConnection(ctx, t, path, limit+g.options.RTT(t.Region)) }()
	}
	sum := reach.Probes{Asked: len(targets)}
	for range targets {
		p := <-results
		sum.Connected += p.Connected
		sum.Answered += p.Answered
		sum.Silent += p.Silent
	}
	g.reachChanged(g.reach.Probed(time.Now(), round.Group, sum))
}

// probeOnNewConnection probes a target. Any answer counts, also that of a target that is not healthy.
func (g *Gateway) probeOnNewConnection(ctx context.Context, t *placing.Target, path string, limit time.Duration) (p reach.Probes) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	raw, err := g.dialTarget(t)(ctx, t.Address)
	if err != nil {
		if g.isBusy(time.Now()) && isTimeout(err) {
			// The connection may have been opened in time, and this VM has seen it too late.
			p.Silent = 1
		}
		return p
	}
	p.Connected = 1
	conn := forward.NewConn(raw)
	defer conn.Close()
	answer, err := g.exchangeProbe(ctx, t, path, conn, limit)
	switch {
	case err == nil:
		p.Answered = 1
		if healthy, coldRemaining := g.healthIn(answer, t); healthy {
			// It may be ejected, and would be probed again before it gets requests.
			g.options.Balancer.RecordProbe(time.Now(), t, true, coldRemaining)
		}
	case ctx.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded):
		p.Silent = 1
	}
	return p
}

func isTimeout(err error) bool {
	var failed net.Error
	return errors.As(err, &failed) && failed.Timeout()
}

// reachChanged applies and logs changes of what this VM reaches.
func (g *Gateway) reachChanged(changes []reach.Change) {
	for _, c := range changes {
		g.options.Logger.WithFields(logrus.Fields{
			"service": c.Group.Service, "region": c.Group.Region, "phase": c.Phase.String(), "was": c.Previous.String(),
			"lasted_ms": c.Lasted.Milliseconds(), "heard_age_ms": c.HeardAge.Milliseconds(),
			"lost": c.Lost, "overdue": c.Overdue, "refused": c.Refused,
			"probes": c.Probes.Asked, "probes_connected": c.Probes.Connected, "probes_answered": c.Probes.Answered,
			"probes_silent": c.Probes.Silent,
		}).Info("gateway: reach of targets changed")
		g.applyReach(c.Group)
	}
	if len(changes) > 0 {
		g.options.ReachChanged()
	}
}

// applyReach tells the balancer whether a group is reached. Changes may be applied in another order than that
// in which the tracker has found them, so that what holds now is read under the lock.
func (g *Gateway) applyReach(id reach.Group) {
	g.reachMu.Lock()
	defer g.reachMu.Unlock()
	g.options.Balancer.SetReached(time.Now(), id.Service, id.Region, g.reach.PhaseOf(id) != reach.Unreached)
}

// Reach returns what this VM believes of each group of targets.
func (g *Gateway) Reach(now time.Time) []reach.Status { return g.reach.Statuses(now) }
