package storetest

import (
	"math"
	"sync"
	"sync/atomic"

	"github.com/anishathalye/porcupine"
)

// history records operations for the linearizability check. Calls and returns
// are ordered by a counter, because the clock of a synctest bubble may not
// advance between them.
type history struct {
	counter atomic.Int64

	mu         sync.Mutex
	operations []porcupine.Operation
}

func (h *history) nextTime() int64 {
	return h.counter.Add(1)
}

// record adds an operation that has just returned. An operation with an unknown
// outcome may take effect at any later time, so its return time is unbounded.
func (h *history) record(client int, call int64, in input, out output) {
	returned := h.counter.Add(1)
	if out.outcome == outcomeUnknown {
		returned = math.MaxInt64
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client,
		Input:    in,
		Call:     call,
		Output:   out,
		Return:   returned,
	})
}
