package storetest

import (
	"github.com/anishathalye/porcupine"

	"github.com/yuccaroute/yuccaroute/store"
)

// register is the state of one key in the model.
type register struct {
	value string
	// revision is 0 when the key does not exist.
	revision store.Revision
	// revisionUnknown is set after a write whose response was lost: the key is
	// at some revision above the field revision until a response shows which.
	revisionUnknown bool
}

func (r register) mayHaveRevision(revision store.Revision) bool {
	if r.revisionUnknown {
		return revision > r.revision
	}
	return revision == r.revision
}

// withRevision returns the register once a response has shown its revision.
func (r register) withRevision(revision store.Revision) register {
	return register{value: r.value, revision: revision}
}

func model() porcupine.Model {
	nondeterministic := porcupine.NondeterministicModel{
		Partition: partition,
		Init:      func() []any { return []any{register{}} },
		Step: func(state, in, out any) []any {
			return step(state.(register), in.(input), out.(output))
		},
	}
	return nondeterministic.ToModel()
}

func partition(history []porcupine.Operation) [][]porcupine.Operation {
	byKey := map[string][]porcupine.Operation{}
	for _, op := range history {
		key := op.Input.(input).key
		byKey[key] = append(byKey[key], op)
	}
	var parts [][]porcupine.Operation
	for _, part := range byKey {
		parts = append(parts, part)
	}
	return parts
}

// step returns the states that are possible after the operation.
func step(r register, in input, out output) []any {
	switch out.outcome {
	case outcomeUnavailable:
		return []any{r}
	case outcomeUnknown:
		return stepUnknown(r, in)
	case outcomeConflict:
		if out.revision == in.expected || !r.mayHaveRevision(out.revision) {
			return nil
		}
		return []any{r.withRevision(out.revision)}
	case outcomeNotFound:
		if !r.mayHaveRevision(0) {
			return nil
		}
		return []any{r}
	}
	return stepSucceeded(r, in, out)
}

func stepSucceeded(r register, in input, out output) []any {
	switch in.action {
	case actionGet:
		if r.value != out.value || !r.mayHaveRevision(out.revision) {
			return nil
		}
		return []any{r.withRevision(out.revision)}
	case actionSwap:
		if !r.mayHaveRevision(in.expected) || out.revision <= in.expected {
			return nil
		}
		return []any{register{value: in.value, revision: out.revision}}
	default:
		if !r.mayHaveRevision(in.expected) {
			return nil
		}
		return []any{register{}}
	}
}

// stepUnknown allows both that the write took effect and that it did not.
func stepUnknown(r register, in input) []any {
	if !r.mayHaveRevision(in.expected) {
		return []any{r}
	}
	if in.action == actionDelete {
		return []any{r, register{}}
	}
	written := register{value: in.value, revision: in.expected, revisionUnknown: true}
	return []any{r, written}
}
