package scenario

import (
	"context"

	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/bench/load"
	"github.com/yuccaroute/yuccaroute/bench/report"
	"github.com/yuccaroute/yuccaroute/lookup"
	"github.com/yuccaroute/yuccaroute/lookup/blocks/blocktest"
)

// lookupLibrary offers look-ups by function call, by the number of blocks.
func lookupLibrary() Scenario {
	return Scenario{
		Name:     "lookup-library",
		SizeName: "blocks",
		Summary:  "look-ups by function call at a fixed rate, 550 nodes",
		MaxSize:  targetBlocks,
		Run:      runLookupLibrary,
	}
}

func runLookupLibrary(ctx context.Context, p Params) ([]report.Metric, error) {
	sample := blocktest.New(int(p.Size), targetRegions, p.Seed)
	l := newLookup(sample, targetNodes)
	answers := make([]lookup.Answer, p.Workers)
	call := func(_ context.Context, worker int, number uint64) (int, error) {
		at := (number*uint64(p.Workers) + uint64(worker)) % uint64(len(sample.Addresses))
		code := l.Lookup(accountName, sample.Addresses[at], &answers[worker])
		return int(code), codeError(code)
	}
	r, err := load.Run(ctx, options(p), call)
	if err != nil {
		return nil, err
	}
	return loadMetrics(r), nil
}

func options(p Params) load.Options {
	return load.Options{
		Rate: p.Rate, Warmup: p.Warmup, Duration: p.Duration,
		Workers: p.Workers, Seed: p.Seed, Progress: p.Progress,
	}
}

// codeError returns an error for every code but OK.
func codeError(code result.Code) error {
	if code == result.OK {
		return nil
	}
	return &refusedError{code}
}

// refusedError is a call that was answered with another code than OK.
type refusedError struct{ code result.Code }

func (e *refusedError) Error() string { return "refused: " + e.code.String() }
