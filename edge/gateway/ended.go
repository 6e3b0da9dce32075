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

// endCheckAfter is how long after a lost connection its target is looked at: a process that ends
// closes its connections one after the other, and its listener among them.
const endCheckAfter = 20 * time.Millisecond

// fingerprint is what the request is known by when it is repeated.
func (g *Gateway) fingerprint(j *job) quarantine.Fingerprint {
	if j.fingerprint == nil {
		f := quarantine.FingerprintOf(quarantine.Content{
			Method: j.in.Method, Host: j.in.Host, Target: j.in.Target,
			Account:       j.in.Header.Get(g.options.Fields.Account),
			Authorization: j.in.Header.Get("Authorization"),
			Body:          j.in.Body,
		})
		j.fingerprint = &f
	}
	return *j.fingerprint
}

// noteUnanswered remembers a request that a target may have begun and did not answer, and looks
// whether the target has ended.
func (g *Gateway) noteUnanswered(j *job, t try) {
	target := t.decision.Target
	key := poolKey(&target.Target)
	switch {
	case t.answer != nil:
	case t.code == result.ConnectionLost || t.code == result.AnswerTruncated:
		if g.losses.addLost(key, g.lostRequest(j)) {
			go g.lookAt(target, key)
		}
	case t.code == result.DeadlineAfterSend || t.code == result.CallerGone:
		g.losses.addAbandoned(key, g.lostRequest(j))
	case errors.Is(t.err, syscall.ECONNREFUSED):
		g.noteEnd(target, key, nil, t.err)
	}
}

// lostRequest is a request that a target did not answer, which its log line tells too.
func (g *Gateway) lostRequest(j *job) lostRequest {
	j.log.unanswered = true
	return lostRequest{id: j.id, fingerprint: g.fingerprint(j), at: time.Now()}
}

// lookAt connects to a target that has lost requests, once for all that it lost at the same
// time. One that has ended refuses: a connection that was only reset, or whose answer was lost,
// does not, and a target without power does not answer.
func (g *Gateway) lookAt(t *placing.Target, key string) {
	ctx := context.Background()
	wait.For(ctx, endCheckAfter)
	lost := g.losses.takeLost(key)
	p := g.poolOf(t)
	conn, err := p.Get(ctx)
	if err == nil {
		p.Put(conn)
	}
	g.noteEnd(t, key, lost, err)
}

// noteEnd takes in how a target was found that lost requests: err is that of connecting to it.
// If it has ended without a plan, what it had is counted against the requests.
func (g *Gateway) noteEnd(t *placing.Target, key string, lost []lostRequest, err error) {
	ended := errors.Is(err, syscall.ECONNREFUSED)
	if ended {
		lost = append(lost, g.losses.takeAbandoned(key, time.Now())...)
	}
	if len(lost) == 0 {
		return
	}
	planned := g.options.Balancer.IsLeaving(t)
	g.logEnd(t, lost, err, ended, planned)
	if ended && !planned {
		g.options.Metrics.TargetCrashed(t.Service)
		g.blame(key, lost)
	}
}

// blame counts the end of a target against the requests that it had.
func (g *Gateway) blame(key string, lost []lostRequest) {
	if g.options.Quarantine == nil {
		return
	}
	now := time.Now()
	for _, l := range lost {
		// 0 names no target.
		g.options.Quarantine.TargetCrashed(now, l.fingerprint, placing.HashOf(key)|1)
	}
}

// logEnd tells what was found at a target that lost requests, and which requests these were.
func (g *Gateway) logEnd(t *placing.Target, lost []lostRequest, err error, ended, planned bool) {
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
