package scenario

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/bench/load"
	"github.com/yuccaroute/yuccaroute/bench/report"
	"github.com/yuccaroute/yuccaroute/httpserver"
	"github.com/yuccaroute/yuccaroute/platform/kvclient"
	"github.com/yuccaroute/yuccaroute/standin/platform"
	"github.com/yuccaroute/yuccaroute/store"
)

const (
	maxStoreRate = 5000
	// storeValueBytes is the size of the values written: a small ledger.
	storeValueBytes = 2000
	// storeWriteEvery makes one call of so many a write, as the rates of the
	// platform do.
	storeWriteEvery = 6
)

// storeHTTP offers calls to the stand-in of the store through its adapter.
func storeHTTP() Scenario {
	return Scenario{
		Name:     "store-http",
		SizeName: "rate",
		Summary:  "store calls over HTTP to the stand-in, one of six a write, at the given rate",
		MaxSize:  maxStoreRate,
		Run:      runStoreHTTP,
	}
}

func runStoreHTTP(ctx context.Context, p Params) ([]report.Metric, error) {
	httpserver.QuietLibraryLogs()
	server := platform.New(platform.Options{Address: "127.0.0.1:0"})
	if err := server.Start(); err != nil {
		return nil, err
	}
	defer func() { _ = server.Stop() }()
	kv, err := kvclient.New(kvclient.Options{Address: server.Addr(), MaxIdleConns: p.Workers})
	if err != nil {
		return nil, err
	}
	defer kv.Close()
	callers := make([]storeCaller, p.Workers)
	for i := range callers {
		callers[i] = storeCaller{kv: kv, key: fmt.Sprintf("bench/%d", i), value: make([]byte, storeValueBytes)}
	}
	p.Rate = p.Size
	before := processorTime()
	r, err := load.Run(ctx, options(p), func(ctx context.Context, worker int, number uint64) (int, error) {
		return 0, callers[worker].call(ctx, number)
	})
	if err != nil {
		return nil, err
	}
	return append(loadMetrics(r), processorMetric(before, r.Sent)), nil
}

// storeCaller writes and reads one key.
type storeCaller struct {
	kv       store.KV
	key      string
	value    []byte
	revision store.Revision
}

func (c *storeCaller) call(ctx context.Context, number uint64) error {
	if number%storeWriteEvery != 0 {
		_, err := c.kv.Get(ctx, c.key)
		return err
	}
	revision, err := c.kv.Swap(ctx, c.key, c.value, c.revision, 0)
	if err != nil {
		return errors.Wrap(err, "write")
	}
	c.revision = revision
	return nil
}
