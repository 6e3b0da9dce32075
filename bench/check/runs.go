package check

import (
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/result"
)

func checkRuns(in *Input, requests map[string]*request, r *Report) {
	for token, q := range requests {
		if len(q.told) == 0 {
			r.checked(NeverSent)
			r.violated(NeverSent, "%s ran at %s", token, q.ran[0].Target)
			continue
		}
		checkRanTwice(token, q, r)
		checkNotRun(token, q, r)
		checkRanNowhere(in, token, q, r)
		r.checked(NeverSent)
	}
}

func checkRanTwice(token string, q *request, r *Report) {
	if q.told[0].Class == model.Idempotent {
		return
	}
	r.checked(RanTwice)
	if n := q.runs(); n > 1 {
		r.violated(RanTwice, "%s ran %d times, first at %s", token, n, q.first().Target)
	}
}

// checkNotRun counts a request only when each report said not run: a caller
// that was told not run may send the same request again, and that one may run.
func checkNotRun(token string, q *request, r *Report) {
	for _, told := range q.told {
		if told.Outcome != result.NotRun {
			return
		}
	}
	r.checked(NotRunButRan)
	if len(q.ran) > 0 {
		r.violated(NotRunButRan, "%s was refused with %s by %s and ran at %s",
			token, q.told[0].Code, q.told[0].Entry, q.ran[0].Target)
	}
}

func checkRanNowhere(in *Input, token string, q *request, r *Report) {
	for _, told := range q.told {
		if told.Outcome != result.Ran {
			continue
		}
		if len(q.ran) == 0 && in.LostLedgers[told.Target] {
			r.Unverifiable++
			return
		}
		r.checked(RanNowhere)
		if len(q.ran) == 0 {
			r.violated(RanNowhere, "%s was told to have run at %q", token, told.Target)
		}
		return
	}
}
