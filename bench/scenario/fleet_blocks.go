package scenario

import (
	"context"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/bench/report"
)

const (
	// blocksPerAccount is the target's blocks spread over the accounts that use
	// its 160 sites with 6 sites each.
	blocksPerAccount = 12_222
	// blockNodes are few, as each holds all blocks.
	blockNodes = 2
)

// fleetByBlocks measures the memory of nodes that hold the target's blocks.
func fleetByBlocks() Scenario {
	return Scenario{
		Name:     "fleet-blocks",
		SizeName: "accounts",
		Summary:  "memory of a node by accounts with 12,222 caller blocks each; 27 of them have 330,000",
		MaxSize:  maxAccounts,
		Untimed:  true,
		Run: func(ctx context.Context, p Params) ([]report.Metric, error) {
			return runFleetBlocks(ctx, int(p.Size))
		},
	}
}

func runFleetBlocks(ctx context.Context, accounts int) ([]report.Metric, error) {
	w := newFleetWorld()
	defer w.close()
	if err := w.commitAll(ctx, accounts, blocksPerAccount); err != nil {
		return nil, errors.Wrap(err, "fleet: commit the configuration")
	}
	before, processor := liveHeap(), processorTime()
	if err := w.start(ctx, blockNodes); err != nil {
		return nil, err
	}
	started := processorTime() - processor
	if err := pause(ctx, settleTime); err != nil {
		return nil, err
	}
	kept := liveHeap() - before
	return []report.Metric{
		{Name: "blocks", Unit: "blocks", Value: float64(accounts * blocksPerAccount)},
		{Name: "heap", Unit: "B/node", Value: float64(kept) / blockNodes},
		{Name: "start", Unit: "ms/node", Value: started.Seconds() * 1000 / blockNodes},
	}, nil
}
