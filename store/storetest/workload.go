package storetest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/store"
)

// Workload is a random history of calls on a few keys.
type Workload struct {
	Seed uint64
	// Clients call at once, each through its own KV.
	Clients []store.KV
	// Calls is the number of calls of each client.
	Calls int
	// Keys is the number of keys they share.
	Keys int
	// Settle is called after all calls, to wait for late writes. Each key is
	// then read once more.
	Settle func()
}

// Linearizable runs the workload and reports whether one order of the calls
// explains all answers: each write that was said to have happened did, once,
// and none that was said not to have happened did.
func (w Workload) Linearizable(ctx context.Context) bool {
	h := &history{}
	var clients sync.WaitGroup
	for i, kv := range w.Clients {
		c := newClient(i, kv, w.Seed, h)
		clients.Go(func() { c.run(ctx, w.Calls, w.Keys) })
	}
	clients.Wait()
	w.Settle()
	last := newClient(len(w.Clients), w.Clients[0], w.Seed, h)
	for i := range w.Keys {
		last.get(ctx, keyName(i))
	}
	return porcupine.CheckOperations(model(), h.operations)
}

// client makes random calls and remembers the last revision it saw of each
// key.
type client struct {
	id      int
	kv      store.KV
	source  *rand.Rand
	history *history
	known   map[string]store.Revision
	written int
}

func newClient(id int, kv store.KV, seed uint64, h *history) *client {
	return &client{
		id:      id,
		kv:      kv,
		source:  rand.New(rand.NewPCG(seed, uint64(id))),
		history: h,
		known:   map[string]store.Revision{},
	}
}

func keyName(i int) string {
	return fmt.Sprintf("key/%d", i)
}

// Of ten calls of a client, four are reads, five writes and one a removal.
func (c *client) run(ctx context.Context, calls, keys int) {
	for range calls {
		key := keyName(c.source.IntN(keys))
		switch at := c.source.IntN(10); {
		case at < 4:
			c.get(ctx, key)
		case at < 9:
			c.swap(ctx, key)
		default:
			c.delete(ctx, key)
		}
	}
}

func (c *client) get(ctx context.Context, key string) {
	call := c.history.call()
	entry, err := c.kv.Get(ctx, key)
	out := outputOf(err)
	if err == nil {
		out.value, out.revision = string(entry.Value), entry.Revision
	}
	c.finish(call, input{action: actionGet, key: key}, out)
}

func (c *client) swap(ctx context.Context, key string) {
	c.written++
	in := input{
		action:   actionSwap,
		key:      key,
		value:    fmt.Sprintf("%d-%d", c.id, c.written),
		expected: c.known[key],
	}
	call := c.history.call()
	revision, err := c.kv.Swap(ctx, key, []byte(in.value), in.expected, 0)
	out := outputOf(err)
	if err == nil {
		out.revision = revision
	}
	c.finish(call, in, out)
}

func (c *client) delete(ctx context.Context, key string) {
	in := input{action: actionDelete, key: key, expected: c.known[key]}
	if in.expected == 0 {
		return
	}
	call := c.history.call()
	err := c.kv.Delete(ctx, key, in.expected)
	c.finish(call, in, outputOf(err))
}

func (c *client) finish(call int64, in input, out output) {
	c.history.add(c.id, call, in, out)
	switch out.outcome {
	case outcomeDone, outcomeConflict:
		c.known[in.key] = out.revision
	case outcomeNotFound:
		c.known[in.key] = 0
	}
}

func outputOf(err error) output {
	var conflict *store.ConflictError
	switch {
	case err == nil:
		return output{outcome: outcomeDone}
	case errors.As(err, &conflict):
		return output{outcome: outcomeConflict, revision: conflict.Current}
	case errors.Is(err, store.ErrNotFound):
		return output{outcome: outcomeNotFound}
	case errors.Is(err, store.ErrUnavailable):
		return output{outcome: outcomeUnavailable}
	default:
		return output{outcome: outcomeUnknown}
	}
}
