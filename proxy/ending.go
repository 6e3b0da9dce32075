package proxy

import (
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/proxy/forward"
)

// ending is how a request ended: with a target's whole answer, or refused.
type ending struct {
	answer *forward.Answer
	place  model.PlaceName
	target string
	// refusal is set when answer is nil.
	refusal *refusal
}

func refused(r *refusal) ending { return ending{refusal: r} }
