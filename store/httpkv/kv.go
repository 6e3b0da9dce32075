package httpkv

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/store"
	"github.com/yuccaroute/yuccaroute/store/wire"
)

func (c *Client) read(path string) operation {
	return operation{path: path, timeout: c.options.Timeout}
}

func (c *Client) write(path string) operation {
	return operation{path: path, writes: true, timeout: c.options.Timeout}
}

// Get implements store.KV.
func (c *Client) Get(ctx context.Context, key string) (store.Entry, error) {
	var answer wire.Entry
	err := c.call(ctx, c.read(wire.PathGet), wire.GetRequest{Key: key}, &answer)
	if err != nil {
		return store.Entry{}, err
	}
	return answer.Store(), nil
}

// List implements store.KV.
func (c *Client) List(ctx context.Context, prefix string) (store.Listing, error) {
	var answer wire.ListAnswer
	err := c.call(ctx, c.read(wire.PathList), wire.ListRequest{Prefix: prefix}, &answer)
	if err != nil {
		return store.Listing{}, err
	}
	return answer.Store(), nil
}

// Swap implements store.KV.
func (c *Client) Swap(ctx context.Context, key string, value []byte, expected store.Revision, lease store.LeaseID) (store.Revision, error) {
	if len(value) > store.MaxValueBytes {
		return 0, store.ErrTooLarge
	}
	request := wire.SwapRequest{Key: key, Value: value, Expected: expected, Lease: lease}
	var answer wire.SwapAnswer
	if err := c.call(ctx, c.write(wire.PathSwap), request, &answer); err != nil {
		return 0, err
	}
	return answer.Revision, nil
}

// Delete implements store.KV.
func (c *Client) Delete(ctx context.Context, key string, expected store.Revision) error {
	request := wire.DeleteRequest{Key: key, Expected: expected}
	return c.call(ctx, c.write(wire.PathDelete), request, &wire.Done{})
}

// Watch implements store.KV by a long poll: one call that the service answers
// when there is a change or its waiting time ends.
func (c *Client) Watch(ctx context.Context, prefix string, after store.Revision) (store.Batch, error) {
	op := operation{path: wire.PathWatch, timeout: c.options.WatchTimeout}
	var answer wire.WatchAnswer
	err := c.call(ctx, op, wire.WatchRequest{Prefix: prefix, After: after}, &answer)
	if err != nil {
		return store.Batch{}, err
	}
	// The service's revision never goes back without a reset. An answer that
	// lacks its fields reads as revision 0; a watcher that went on from there
	// would get all changes again, or an answer without any wait.
	if !answer.Reset && answer.At < after {
		return store.Batch{}, op.lost(errors.Errorf("watch answer at revision %d, asked for after %d", answer.At, after))
	}
	return answer.Store(), nil
}

// Grant implements store.KV.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	var answer wire.GrantAnswer
	request := wire.GrantRequest{TTLMillis: ttl.Milliseconds()}
	if err := c.call(ctx, c.write(wire.PathGrant), request, &answer); err != nil {
		return 0, err
	}
	return answer.Lease, nil
}

// KeepAlive implements store.KV.
func (c *Client) KeepAlive(ctx context.Context, lease store.LeaseID) error {
	op := c.write(wire.PathKeepAlive)
	op.urgent = true
	return c.call(ctx, op, wire.LeaseRequest{Lease: lease}, &wire.Done{})
}

// Revoke implements store.KV.
func (c *Client) Revoke(ctx context.Context, lease store.LeaseID) error {
	return c.call(ctx, c.write(wire.PathRevoke), wire.LeaseRequest{Lease: lease}, &wire.Done{})
}
