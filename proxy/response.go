package proxy

import (
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/proxy/forward"
)

// response is what a caller gets: the complete answer of a target, or a
// refusal.
type response struct {
	answer *forward.Answer
	// place and target are the header values that name where the answer came
	// from.
	place, target []string
	// refusal is set when answer is nil.
	refusal *refusal
}

// isDuplicate reports whether the request's key was already recorded.
func (r response) isDuplicate() bool {
	return r.answer == nil && r.refusal.code == result.DuplicateKey
}

func refusalResponse(r *refusal) response { return response{refusal: r} }
