package operator

import (
	"context"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/admin/client"
	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/api/result"
)

// rounds is how often each node is tried while the outcome is not known.
const rounds = 2

// Change is one change, which can be sent more than once under its identifier.
type Change struct {
	Object Object
	ID     string
	// Send sends it under ID. Its precondition must be a known sequence or
	// that the object does not exist, or else one that never conflicts.
	Send func(ctx context.Context, api *client.Client) (*wire.ChangeAnswer, error)
}

// attempt is the sending of one change.
type attempt struct {
	nodes  *Nodes
	change Change
	// unknown is set once a node may have the change and did not tell its
	// outcome. From then on "not run" of another node is about that node's try
	// only.
	unknown error
	last    error
}

// Do sends a change. Another node is tried when the change was not sent or not
// run. After a lost answer it is repeated under its identifier, so that it
// takes effect at most once, and then asked for. The error is an UnknownError
// when all this does not settle it.
func (n *Nodes) Do(ctx context.Context, change Change) (*wire.ChangeAnswer, error) {
	a := &attempt{nodes: n, change: change}
	for range rounds {
		for _, i := range n.order() {
			if ctx.Err() != nil {
				return nil, a.givenUp(ctx.Err())
			}
			answer, err := call(ctx, n, i, change.Send)
			if err == nil {
				return answer, nil
			}
			if a.settled(err) {
				return nil, err
			}
			n.passed(n.list[i].Address, err)
		}
		if a.unknown == nil {
			return nil, n.unavailable(a.last)
		}
	}
	return a.ask(ctx)
}

// settled takes in an error and tells whether it is the outcome of the change.
//
// It guards against telling an operator "not run" of a change that then takes
// effect: after a lost answer only a conflict settles it. The sequence of the
// object has then moved past the one the change requires, so a try still under
// way meets the same conflict. Other refusals may be about a state that the
// change itself made.
func (a *attempt) settled(err error) bool {
	a.last = err
	var answer *wire.Error
	isAnswer := errors.As(err, &answer)
	if isAnswer && answer.Outcome == result.Unknown.String() {
		a.unknown = err
		return false
	}
	if a.unknown != nil {
		return isAnswer && answer.Code == result.RevisionConflict
	}
	return !anotherMayAnswer(err)
}

// ask finds out whether the change is in force.
func (a *attempt) ask(ctx context.Context) (*wire.ChangeAnswer, error) {
	outcome, err := a.nodes.Outcome(ctx, a.change.Object, a.change.ID)
	if err != nil || outcome.State != wire.OutcomeInForce {
		return nil, a.givenUp(a.unknown)
	}
	return &wire.ChangeAnswer{Change: *outcome.Change, Repeated: true}, nil
}

// givenUp returns what is known when no more is tried.
func (a *attempt) givenUp(cause error) error {
	if a.unknown == nil {
		return &UnavailableError{Nodes: a.nodes.addresses(), Cause: cause}
	}
	return &UnknownError{Object: a.change.Object, ID: a.change.ID, Cause: a.unknown}
}

// Outcome asks whether a change of an object is in force.
func (n *Nodes) Outcome(ctx context.Context, o Object, id string) (*wire.Outcome, error) {
	return Read(ctx, n, func(ctx context.Context, api *client.Client) (*wire.Outcome, error) {
		return api.Outcome(ctx, o.API(), id)
	})
}
