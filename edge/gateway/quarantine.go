package gateway

import (
	"context"
	"time"

	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/edge/quarantine"
)

// verdict decides whether a request may be sent to targets.
func (g *Gateway) verdict(j *job) quarantine.Verdict {
	if g.options.Quarantine == nil || g.options.Quarantine.IsEmpty() {
		return quarantine.Verdict{}
	}
	v := g.options.Quarantine.Verdict(time.Now(), g.fingerprint(j))
	j.log.verdict = v
	return v
}

// admit refuses a request that is kept from targets. It returns true if the request may go on,
// one that is due for a trial only at the VM that claims it.
func (g *Gateway) admit(ctx context.Context, j *job) (outcome, bool) {
	v := g.verdict(j)
	switch {
	case v.Status == quarantine.TrialDue && g.options.Quarantine.ClaimTrial(ctx, time.Now(), g.fingerprint(j)):
		j.onTrial = true
		return outcome{}, true
	case isKept(v):
		return keptOutcome(v), false
	}
	return outcome{}, true
}

// isKept reports whether a request is kept from targets.
func isKept(v quarantine.Verdict) bool {
	return v.Status == quarantine.Quarantined || v.Status == quarantine.TrialDue
}

// keptOutcome refuses a request that is kept from targets, and tells when it may be sent again.
func keptOutcome(v quarantine.Verdict) outcome {
	return outcome{code: result.Quarantined, retryAfter: v.RetryAfter, why: "targets end when they run it"}
}

// sendsOnce reports whether a request must not be sent to a second target: others ended when
// they ran it.
func (g *Gateway) sendsOnce(j *job) bool {
	return j.onTrial || g.verdict(j).Status != quarantine.Clear
}

// noteAnswer tells of a request that a target answered: it does not end the targets that run it.
func (g *Gateway) noteAnswer(j *job, t try) {
	q := g.options.Quarantine
	if q == nil || t.answer == nil || isServerError(t.answer) ||
		t.answer.Header.Get(g.options.Fields.Stamp) == "" {
		return
	}
	q.Answered(time.Now(), g.fingerprint(j))
}
