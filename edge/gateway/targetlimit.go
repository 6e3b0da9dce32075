package gateway

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/edge/placing"
	"github.com/yuccaroute/yuccaroute/edge/quota"
	"github.com/yuccaroute/yuccaroute/edge/ratelimit"
	"github.com/yuccaroute/yuccaroute/proxy/forward"
)

// TargetLimits records the limits that targets state in their answers.
type TargetLimits interface {
	// Now returns the time by which observations are ordered.
	Now() time.Time
	// Observe records what a target stated in the answer to a request that was sent at sentAt. It
	// reports whether that changes the target's limit.
	Observe(o ratelimit.Observation, sentAt time.Time) (changed bool)
}

// StatedLimit returns the limit that a target states in an answer, in requests per second of all
// VMs together, and false if it states none. It returns an error if what it states is no limit.
type StatedLimit func(h http.Header) (rate float64, stated bool, err error)

// malformedLogInterval is the shortest time between two log lines on malformed limits.
const malformedLogInterval = time.Second

// limitTime returns the time by which answers are ordered that may state limits.
func (g *Gateway) limitTime() time.Time {
	if g.options.StatedLimit == nil {
		return time.Time{}
	}
	return g.options.TargetLimits.Now()
}

// observeLimit records whether an answer states a limit of its target. Only an answer that the
// target has stamped shows that it has withdrawn one.
func (g *Gateway) observeLimit(t *placing.Target, answer *forward.Response, sentAt time.Time) {
	if g.options.StatedLimit == nil {
		return
	}
	rate, stated, err := g.options.StatedLimit(answer.Header)
	if err != nil {
		g.logMalformedLimit(t, err)
		return
	}
	if !stated && answer.Header.Get(g.options.Fields.Stamp) == "" {
		return
	}
	o := ratelimit.Observation{Target: quota.IDOf(t.ID), Limited: stated, Rate: rate, At: g.options.TargetLimits.Now()}
	if g.options.TargetLimits.Observe(o, sentAt) {
		g.options.Logger.WithFields(logrus.Fields{
			"target": t.ID, "target_id": o.Target, "service": t.Service, "limited": stated, "rate": rate,
		}).Info("gateway: target changed its limit")
	}
}

// logMalformedLimit logs that an answer states a limit that is none. The last limit stays in force.
func (g *Gateway) logMalformedLimit(t *placing.Target, err error) {
	now := g.limitTime()
	last := g.malformedLimitAt.Load()
	if last != nil && now.Sub(*last) < malformedLogInterval || !g.malformedLimitAt.CompareAndSwap(last, &now) {
		return
	}
	g.options.Logger.WithError(err).WithFields(logrus.Fields{"target": t.ID, "service": t.Service}).
		Warn("gateway: target states a malformed limit")
}
