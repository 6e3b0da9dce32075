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
	// hidden is set after a write whose answer was lost: its revision is
	// above this field's neighbour and not known before somebody reads it.
	hidden bool
}

func (r register) mayBeAt(revision store.Revision) bool {
	if r.hidden {
		return revision > r.revision
	}
	return revision == r.revision
}

// seen is the register after somebody learnt its revision.
func (r register) seen(revision store.Revision) register {
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
		if out.revision == in.expected || !r.mayBeAt(out.revision) {
			return nil
		}
		return []any{r.seen(out.revision)}
	case outcomeNotFound:
		if !r.mayBeAt(0) {
			return nil
		}
		return []any{r}
	}
	return stepDone(r, in, out)
}

func stepDone(r register, in input, out output) []any {
	switch in.action {
	case actionGet:
		if r.value != out.value || !r.mayBeAt(out.revision) {
			return nil
		}
		return []any{r.seen(out.revision)}
	case actionSwap:
		if !r.mayBeAt(in.expected) || out.revision <= in.expected {
			return nil
		}
		return []any{register{value: in.value, revision: out.revision}}
	default:
		if !r.mayBeAt(in.expected) {
			return nil
		}
		return []any{register{}}
	}
}

// stepUnknown allows both that the write took effect and that it did not.
func stepUnknown(r register, in input) []any {
	if !r.mayBeAt(in.expected) {
		return []any{r}
	}
	if in.action == actionDelete {
		return []any{r, register{}}
	}
	written := register{value: in.value, revision: in.expected, hidden: true}
	return []any{r, written}
}
