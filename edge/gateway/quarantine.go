package gateway

import (
	"context"
	"time"

	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/edge/quarantine"
)

// verdict returns the quarantine's verdict on a request and keeps it for the log.
func (g *Gateway) verdict(r *request) quarantine.Verdict {
	if g.options.Quarantine == nil || g.options.Quarantine.IsEmpty() {
		return quarantine.Verdict{}
	}
	v := g.options.Quarantine.Verdict(time.Now(), g.fingerprint(r))
	r.log.verdict = v
	return v
}

// admit returns false and the refusal if a request is quarantined. A request that is due for a
// trial is admitted only by the VM that claims the trial.
func (g *Gateway) admit(ctx context.Context, r *request) (outcome, bool) {
	v := g.verdict(r)
	switch {
	case v.Status == quarantine.TrialDue && g.options.Quarantine.ClaimTrial(ctx, time.Now(), g.fingerprint(r)):
		r.onTrial = true
		return outcome{}, true
	case isBlocked(v):
		return quarantinedOutcome(v), false
	}
	return outcome{}, true
}

func isBlocked(v quarantine.Verdict) bool {
	return v.Status == quarantine.Quarantined || v.Status == quarantine.TrialDue
}

func quarantinedOutcome(v quarantine.Verdict) outcome {
	return outcome{code: result.Quarantined, retryAfter: v.RetryAfter, reason: "targets end when they run it"}
}

// limitedToOneAttempt reports whether a request must not be sent to a second target, because
// targets crashed while they ran it.
func (g *Gateway) limitedToOneAttempt(r *request) bool {
	return r.onTrial || g.verdict(r).Status != quarantine.Clear
}

// recordAnswered tells the quarantine of a request that a target answered without crashing.
func (g *Gateway) recordAnswered(r *request, a attempt) {
	q := g.options.Quarantine
	if q == nil || a.answer == nil || isServerError(a.answer) ||
		a.answer.Header.Get(g.options.Fields.Stamp) == "" {
		return
	}
	q.Answered(time.Now(), g.fingerprint(r))
}
