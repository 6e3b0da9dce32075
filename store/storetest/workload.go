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

// Workload makes random concurrent calls on a few keys.
type Workload struct {
	Seed uint64
	// Clients make their calls concurrently, each through its own KV.
	Clients []store.KV
	// Calls is the number of calls of each client.
	Calls int
	// Keys is the number of keys that the clients share.
	Keys int
	// Settle is called after all calls to wait for late writes. Each key is
	// then read once more.
	Settle func()
}

// Linearizable runs the workload and reports whether its history is
// linearizable: each write reported as applied was applied exactly once, and no
// write reported as not applied was.
func (w Workload) Linearizable(ctx context.Context) bool {
	h := &history{}
	var clients sync.WaitGroup
	for i, kv := range w.Clients {
		c := newClient(i, kv, w.Seed, h)
		clients.Go(func() { c.run(ctx, w.Calls, w.Keys) })
	}
	clients.Wait()
	w.Settle()
	reader := newClient(len(w.Clients), w.Clients[0], w.Seed, h)
	for i := range w.Keys {
		reader.get(ctx, keyName(i))
	}
	return porcupine.CheckOperations(model(), h.operations)
}

// client makes random calls and keeps the last revision it observed of each key.
type client struct {
	id            int
	kv            store.KV
	random        *rand.Rand
	history       *history
	lastRevisions map[string]store.Revision
	swapCount     int
}

func newClient(id int, kv store.KV, seed uint64, h *history) *client {
	return &client{
		id:            id,
		kv:            kv,
		random:        rand.New(rand.NewPCG(seed, uint64(id))),
		history:       h,
		lastRevisions: map[string]store.Revision{},
	}
}

func keyName(i int) string {
	return fmt.Sprintf("key/%d", i)
}

// run chooses a read for 40% of the calls, a swap for 50% and a delete for 10%.
func (c *client) run(ctx context.Context, calls, keys int) {
	for range calls {
		key := keyName(c.random.IntN(keys))
		switch choice := c.random.IntN(10); {
		case choice < 4:
			c.get(ctx, key)
		case choice < 9:
			c.swap(ctx, key)
		default:
			c.delete(ctx, key)
		}
	}
}

func (c *client) get(ctx context.Context, key string) {
	call := c.history.nextTime()
	entry, err := c.kv.Get(ctx, key)
	out := outputOf(err)
	if err == nil {
		out.value, out.revision = string(entry.Value), entry.Revision
	}
	c.record(call, input{action: actionGet, key: key}, out)
}

func (c *client) swap(ctx context.Context, key string) {
	c.swapCount++
	in := input{
		action:   actionSwap,
		key:      key,
		value:    fmt.Sprintf("%d-%d", c.id, c.swapCount),
		expected: c.lastRevisions[key],
	}
	call := c.history.nextTime()
	revision, err := c.kv.Swap(ctx, key, []byte(in.value), in.expected, 0)
	out := outputOf(err)
	if err == nil {
		out.revision = revision
	}
	c.record(call, in, out)
}

func (c *client) delete(ctx context.Context, key string) {
	in := input{action: actionDelete, key: key, expected: c.lastRevisions[key]}
	if in.expected == 0 {
		return
	}
	call := c.history.nextTime()
	err := c.kv.Delete(ctx, key, in.expected)
	c.record(call, in, outputOf(err))
}

func (c *client) record(call int64, in input, out output) {
	c.history.record(c.id, call, in, out)
	switch out.outcome {
	case outcomeSucceeded, outcomeConflict:
		c.lastRevisions[in.key] = out.revision
	case outcomeNotFound:
		c.lastRevisions[in.key] = 0
	}
}

func outputOf(err error) output {
	var conflict *store.ConflictError
	switch {
	case err == nil:
		return output{outcome: outcomeSucceeded}
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
