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

// targetCheckDelay is the time from a lost connection to the check of its target: a process
// that exits may close its listener after its connections.
const targetCheckDelay = 20 * time.Millisecond

// fingerprint identifies the request across retries by its content.
func (g *Gateway) fingerprint(r *request) quarantine.Fingerprint {
	if r.fingerprint == nil {
		f := quarantine.FingerprintOf(quarantine.Content{
			Method: r.in.Method, Host: r.in.Host, Target: r.in.Target,
			Account:       r.accountName(),
			Authorization: r.in.Header.Get("Authorization"),
			Body:          r.in.Body,
		})
		r.fingerprint = &f
	}
	return *r.fingerprint
}

// recordUnanswered remembers a request that a target may have started and did not answer, and
// checks whether the target has crashed.
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
		go g.recordTargetCheck(target, key, nil, a.err)
	}
}

// lostRequest marks a request as unanswered in its log fields and returns its record.
func (g *Gateway) lostRequest(r *request) lostRequest {
	r.log.unanswered = true
	return lostRequest{id: r.id, fingerprint: g.fingerprint(r), lostAt: time.Now()}
}

// checkTarget connects to a target that has lost requests, once for all requests lost at about
// the same time. Only a target whose process has ended refuses the connection.
func (g *Gateway) checkTarget(t *placing.Target, key string) {
	ctx := context.Background()
	wait.For(ctx, targetCheckDelay)
	lost := g.losses.takeLost(key)
	p := g.poolOf(t)
	conn, err := p.Get(ctx, "")
	if err == nil {
		p.Put(conn)
	}
	g.recordTargetCheck(t, key, lost, err)
}

// reachesAnother reports whether a connection to another target can be opened, or there is none. If not, it
// is this VM that is cut off, and a refused connection does not show that a target has ended.
func (g *Gateway) reachesAnother(t *placing.Target) bool {
	others := g.options.Balancer.OtherTargets(t, otherTargetsTried)
	for _, other := range others {
		conn, err := g.dialTarget(other)(context.Background(), other.Address)
		if err == nil {
			_ = conn.Close()
			return true
		}
	}
	return len(others) == 0
}

// otherTargetsTried is how many targets are tried before a VM takes itself for cut off.
const otherTargetsTried = 3

// recordTargetCheck logs the requests that a target lost, and reports them to the quarantine if
// the target ended unplanned. err is the error of connecting to the target.
func (g *Gateway) recordTargetCheck(t *placing.Target, key string, lost []lostRequest, err error) {
	refused := errors.Is(err, syscall.ECONNREFUSED)
	ended := refused && g.reachesAnother(t)
	if ended {
		lost = append(lost, g.losses.takeAbandoned(key, time.Now())...)
	}
	if len(lost) == 0 {
		return
	}
	planned := g.options.Balancer.IsLeaving(t)
	g.logLostRequests(t, lost, err, ended, planned, refused && !ended)
	if ended && !planned {
		g.options.Metrics.TargetCrashed(t.Service)
		g.reportCrash(key, lost)
	}
}

// reportCrash reports the requests that a crashed target had to the quarantine.
func (g *Gateway) reportCrash(key string, lost []lostRequest) {
	if g.options.Quarantine == nil {
		return
	}
	now := time.Now()
	for _, l := range lost {
		// 0 means no target.
		g.options.Quarantine.TargetCrashed(now, l.fingerprint, placing.HashOf(key)|1)
	}
}

func (g *Gateway) logLostRequests(t *placing.Target, lost []lostRequest, err error, ended, planned, cutOff bool) {
	ids, fingerprints := make([]string, len(lost)), make([]string, len(lost))
	for i, l := range lost {
		ids[i], fingerprints[i] = l.id, l.fingerprint.String()
	}
	log := g.options.Logger.WithFields(logrus.Fields{
		"target": t.ID, "service": t.Service, "ended": ended, "planned": planned, "cut_off": cutOff, "ids": ids, "fingerprints": fingerprints,
	})
	if err != nil && !errors.Is(err, pool.ErrClosed) {
		log = log.WithError(err)
	}
	log.Info("gateway: requests lost at a target")
}
