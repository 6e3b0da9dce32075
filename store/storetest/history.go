package storetest

import (
	"math"
	"sync"
	"sync/atomic"

	"github.com/anishathalye/porcupine"
)

// history records operations. Calls and returns are ordered by a counter, not
// by a clock, so that it works in a bubble whose clock stands still.
type history struct {
	counter atomic.Int64

	mu         sync.Mutex
	operations []porcupine.Operation
}

func (h *history) call() int64 {
	return h.counter.Add(1)
}

// add records an operation that returned now. One whose outcome is unknown
// may take effect at any later time, so it returns at the end of time.
func (h *history) add(client int, call int64, in input, out output) {
	ended := h.counter.Add(1)
	if out.outcome == outcomeUnknown {
		ended = math.MaxInt64
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client,
		Input:    in,
		Call:     call,
		Output:   out,
		Return:   ended,
	})
}
