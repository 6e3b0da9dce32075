package proxy

import (
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/proxy/forward"
)

// ending is how a request ended: with the whole answer of a target in a place,
// or refused.
type ending struct {
	answer *forward.Response
	// place and target are the fields that name who answered.
	place, target []string
	// refusal is set when answer is nil.
	refusal *refusal
}

// duplicate reports whether the key of the request was recorded before.
func (e ending) duplicate() bool {
	return e.answer == nil && e.refusal.code == result.DuplicateKey
}

func refused(r *refusal) ending { return ending{refusal: r} }
