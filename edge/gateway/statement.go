package gateway

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/edge/placing"
	"github.com/yuccaroute/yuccaroute/edge/quota"
	"github.com/yuccaroute/yuccaroute/edge/ratelimit"
	"github.com/yuccaroute/yuccaroute/edge/site"
)

// TargetLimits records the limits that targets state in their answers.
type TargetLimits interface {
	// Now returns the time by which observations are ordered.
	Now() time.Time
	// Observe records what a target stated in the answer to a request that was sent at sentAt. It
	// reports whether that changes the target's limit.
	Observe(o ratelimit.Observation, sentAt time.Time) (changed bool)
}

// ReadStatement returns what a target states in an answer with the given status and header.
type ReadStatement func(status int, h http.Header) site.Statement

// statementLogInterval is the shortest time between two log lines on statements of one kind.
const statementLogInterval = time.Second

// logLimit limits log lines to one in a statementLogInterval.
type logLimit struct{ last atomic.Pointer[time.Time] }

// allow reports whether a line may be logged now, and counts it if so.
func (l *logLimit) allow(now time.Time) bool {
	last := l.last.Load()
	return (last == nil || now.Sub(*last) >= statementLogInterval) && l.last.CompareAndSwap(last, &now)
}

// sending is a request on its way to a target, whose answer may state something.
type sending struct {
	target *placing.Target
	// id is that of the request.
	id string
	// sentAt is by the clock of TargetLimits.
	sentAt time.Time
	// probe is set if it is a health probe, which does not count as in flight.
	probe bool
}

// newSending returns the sending of a request that is sent now.
func (g *Gateway) newSending(t *placing.Target, id string) sending {
	s := sending{target: t, id: id}
	if g.options.ReadStatement != nil {
		s.sentAt = g.options.TargetLimits.Now()
	}
	return s
}

// observe records what a target states in the header of an answer.
func (g *Gateway) observe(s sending, status int, h http.Header) {
	// An answer with this status is of another target at the same address.
	if g.options.ReadStatement == nil || status == http.StatusMisdirectedRequest {
		return
	}
	stated := g.options.ReadStatement(status, h)
	if stated.Malformed != nil {
		g.logMalformedStatement(s.target, stated.Malformed)
	}
	g.observeLoad(s, stated.Load)
	g.observeLimit(s, stated, h)
	if stated.Leaving && g.options.Balancer.TargetLeaves(time.Now(), s.target.Incarnation) {
		g.logStatement(s, status).Info("gateway: target leaves by its answer")
		g.options.TargetLeaves(s.target.Incarnation)
	}
	if stated.Rest > 0 && g.options.Balancer.TargetRests(time.Now(), s.target.Incarnation, stated.Rest) {
		g.logStatement(s, status).WithField("rest_ms", stated.Rest.Milliseconds()).Info("gateway: target asks for a rest")
	}
}

// logStatement returns a log line's fields on the answer to a request that was sent.
func (g *Gateway) logStatement(s sending, status int) *logrus.Entry {
	return g.options.Logger.WithFields(logrus.Fields{
		"target": s.target.ID, "service": s.target.Service, "started_ms": s.target.StartedMillis,
		"incarnation": s.target.Incarnation, "status": status, "id": s.id,
	})
}

// observeLimit records whether an answer states a limit of its target. Only an answer that the
// target has stamped shows that it has withdrawn one.
func (g *Gateway) observeLimit(s sending, stated site.Statement, h http.Header) {
	if !stated.Limited && (stated.Malformed != nil || h.Get(g.options.Fields.Stamp) == "") {
		return
	}
	o := ratelimit.Observation{
		Target: quota.IDOf(s.target.ID), Limited: stated.Limited, Rate: stated.Rate, At: g.options.TargetLimits.Now(),
	}
	if g.options.TargetLimits.Observe(o, s.sentAt) {
		g.options.Logger.WithFields(logrus.Fields{
			"target": s.target.ID, "target_id": o.Target, "service": s.target.Service, "limited": o.Limited, "rate": o.Rate,
		}).Info("gateway: target changed its limit")
	}
}

// logMalformedStatement logs that an answer has fields that state nothing.
func (g *Gateway) logMalformedStatement(t *placing.Target, err error) {
	if !g.malformedLogged.allow(time.Now()) {
		return
	}
	g.options.Logger.WithError(err).WithFields(logrus.Fields{"target": t.ID, "service": t.Service}).
		Warn("gateway: target states something malformed")
}
