package gateway

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/api/wait"
	"github.com/yuccaroute/yuccaroute/edge/placing"
	"github.com/yuccaroute/yuccaroute/edge/quarantine"
	"github.com/yuccaroute/yuccaroute/proxy/pool"
)

// targetCheckDelay is how long after a lost connection its target is looked at: a process that ends
// closes its connections one after the other, and its listener among them.
const targetCheckDelay = 20 * time.Millisecond

// fingerprint is what the request is known by when it is repeated.
func (g *Gateway) fingerprint(r *request) quarantine.Fingerprint {
	if r.fingerprint == nil {
		f := quarantine.FingerprintOf(quarantine.Content{
			Method: r.in.Method, Host: r.in.Host, Target: r.in.Target,
			Account:       r.in.Header.Get(g.options.Fields.Account),
			Authorization: r.in.Header.Get("Authorization"),
			Body:          r.in.Body,
		})
		r.fingerprint = &f
	}
	return *r.fingerprint
}

// recordUnanswered remembers a request that a target may have begun and did not answer, and looks
// whether the target has ended.
func (g *Gateway) recordUnanswered(r *request, a attempt) {
	target := a.decision.Target
	key := poolKey(&target.Target)
	switch {
	case a.answer != nil:
	case a.code == result.ConnectionLost || a.code == result.AnswerTruncated:
		if g.losses.addLost(key, g.lostRequest(r)) {
			go g.checkTarget(target, key)
		}
	case a.code == result.DeadlineAfterSend || a.code == result.CallerGone:
		g.losses.addAbandoned(key, g.lostRequest(r))
	case errors.Is(a.err, syscall.ECONNREFUSED):
		g.recordTargetCheck(target, key, nil, a.err)
	}
}

// lostRequest is a request that a target did not answer, which its log line tells too.
func (g *Gateway) lostRequest(r *request) lostRequest {
	r.log.unanswered = true
	return lostRequest{id: r.id, fingerprint: g.fingerprint(r), lostAt: time.Now()}
}

// checkTarget connects to a target that has lost requests, once for all that it lost at the same
// time. One that has ended refuses: a connection that was only reset, or whose answer was lost,
// does not, and a target without power does not answer.
func (g *Gateway) checkTarget(t *placing.Target, key string) {
	ctx := context.Background()
	wait.For(ctx, targetCheckDelay)
	lost := g.losses.takeLost(key)
	p := g.poolOf(t)
	conn, err := p.Get(ctx)
	if err == nil {
		p.Put(conn)
	}
	g.recordTargetCheck(t, key, lost, err)
}

// recordTargetCheck takes in how a target was found that lost requests: err is that of connecting to it.
// If it has ended without a plan, what it had is counted against the requests.
func (g *Gateway) recordTargetCheck(t *placing.Target, key string, lost []lostRequest, err error) {
	ended := errors.Is(err, syscall.ECONNREFUSED)
	if ended {
		lost = append(lost, g.losses.takeAbandoned(key, time.Now())...)
	}
	if len(lost) == 0 {
		return
	}
	planned := g.options.Balancer.IsLeaving(t)
	g.logLostRequests(t, lost, err, ended, planned)
	if ended && !planned {
		g.options.Metrics.TargetCrashed(t.Service)
		g.reportCrash(key, lost)
	}
}

// reportCrash counts the end of a target against the requests that it had.
func (g *Gateway) reportCrash(key string, lost []lostRequest) {
	if g.options.Quarantine == nil {
		return
	}
	now := time.Now()
	for _, l := range lost {
		// 0 names no target.
		g.options.Quarantine.Ended(now, l.fingerprint, placing.HashOf(key)|1)
	}
}

// logLostRequests tells what was found at a target that lost requests, and which requests these were.
func (g *Gateway) logLostRequests(t *placing.Target, lost []lostRequest, err error, ended, planned bool) {
	ids, fingerprints := make([]string, len(lost)), make([]string, len(lost))
	for i, l := range lost {
		ids[i], fingerprints[i] = l.id, l.fingerprint.String()
	}
	log := g.options.Logger.WithFields(logrus.Fields{
		"target": t.ID, "service": t.Service, "ended": ended, "planned": planned, "ids": ids, "fingerprints": fingerprints,
	})
	if err != nil && !errors.Is(err, pool.ErrClosed) {
		log = log.WithError(err)
	}
	log.Info("gateway: requests lost at a target")
}
