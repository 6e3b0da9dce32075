package wire

import (
	"fmt"

	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/config"
)

// Error is the body of every answer that is not a success.
type Error struct {
	// Code is the numbered result; it is also in the header Yucca-Result.
	Code result.Code `json:"code"`
	Name string      `json:"name"`
	// Outcome is "not-run" or "unknown".
	Outcome string `json:"outcome"`
	Message string `json:"message"`
	// Retry tells whether the same request may succeed later.
	Retry bool `json:"retry"`
	// ChangeID is the identifier to ask by or to repeat the change under.
	ChangeID string           `json:"change_id,omitempty"`
	Problems []config.Problem `json:"problems,omitempty"`
	Conflict *Conflict        `json:"conflict,omitempty"`
}

// Conflict tells what was changed since the operator read the object.
type Conflict struct {
	Wanted  uint64   `json:"wanted"`
	Current uint64   `json:"current"`
	Changes []Change `json:"changes"`
}

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("%d %s: %s", e.Code, e.Name, e.Message)
	for i := range e.Problems {
		text += "\n" + e.Problems[i].String()
	}
	if e.Conflict == nil {
		return text
	}
	for _, c := range e.Conflict.Changes {
		text += fmt.Sprintf("\nchanged at sequence %d by %s at %s (change %s)", c.Sequence, c.Who, c.At.Format("2006-01-02 15:04:05Z07:00"), c.ID)
	}
	return text
}
