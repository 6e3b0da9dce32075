package httpkv

import (
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/store"
)

// Outcome is how a call ended.
type Outcome uint8

// The outcomes.
const (
	// Answered includes conflicts and keys not found.
	Answered Outcome = iota
	Unavailable
	Unknown
)

var outcomeNames = [...]string{"answered", "unavailable", "unknown"}

// String implements fmt.Stringer.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// Observation describes one call, for metrics.
type Observation struct {
	// Path is one of the paths of package wire.
	Path    string
	Outcome Outcome
	// Waited is the time for which the client held the call back, for its
	// rate or after failures.
	Waited time.Duration
	// Took is the time from sending to the end.
	Took time.Duration
}

func (c *Client) observe(op operation, err error, began, sent time.Time) {
	if c.options.Observe == nil {
		return
	}
	c.options.Observe(Observation{
		Path:    op.path,
		Outcome: outcomeOf(err),
		Waited:  sent.Sub(began),
		Took:    time.Since(sent),
	})
}

func outcomeOf(err error) Outcome {
	switch {
	case errors.Is(err, store.ErrUnknown):
		return Unknown
	case errors.Is(err, store.ErrUnavailable):
		return Unavailable
	default:
		return Answered
	}
}
