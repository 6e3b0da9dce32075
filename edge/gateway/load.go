package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/edge/site"
)

// observeLoad records the load that a target states in an answer.
func (g *Gateway) observeLoad(s sending, l site.Load) {
	if !l.Known && !l.Malformed {
		return
	}
	g.options.Metrics.LoadStated(s.target.Service, l.Malformed)
	if l.Malformed {
		return
	}
	now := time.Now()
	// A target may state another number of slots with each answer.
	if g.options.Balancer.TargetStatesLoad(now, s.target, l, !s.probe) && g.slotsLogged.allow(now) {
		g.options.Logger.WithFields(logrus.Fields{
			"target": s.target.ID, "service": s.target.Service, "slots": l.Slots, "id": s.id,
		}).Info("gateway: target states another number of slots")
	}
}

// recordExpectedError compares the time of a request that was expected to run warm and without a wait
// with the time that it took.
func (g *Gateway) recordExpectedError(r *request, a attempt) {
	d := &a.decision
	if a.answer == nil || isServerError(a.answer) || !d.Warm || d.InFlight >= d.Slots {
		return
	}
	g.options.Metrics.ExpectedError(r.service, a.took-d.Expected)
}
