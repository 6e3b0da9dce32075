package experiment

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/bench/load"
	"github.com/yuccaroute/yuccaroute/bench/report"
)

// Run runs all parts and writes progress lines. A result with the rows so far
// is returned with the error when a part fails or ctx ends.
func Run(ctx context.Context, e *Experiment, progress io.Writer) (*report.Result, error) {
	result := &report.Result{Experiment: e.Name, Started: time.Now().UTC(), Machine: report.ThisMachine()}
	for _, part := range e.Parts {
		for _, size := range part.Sizes {
			if err := e.runSize(ctx, part, size, result, progress); err != nil {
				return result, err
			}
		}
	}
	return result, nil
}

func (e *Experiment) runSize(ctx context.Context, part Part, size float64, result *report.Result, progress io.Writer) error {
	for _, seed := range e.Seeds {
		for repetition := range e.Repetitions {
			name := fmt.Sprintf("%s %s=%g seed=%d run=%d", part.Scenario.Name, part.Scenario.SizeName, size, seed, repetition+1)
			fmt.Fprintf(progress, "bench: %s\n", name)
			params := part.Params
			params.Size, params.Seed = size, seed
			params.Progress = func(p load.Progress) { writeProgress(progress, name, params.Warmup, p) }
			metrics, err := part.Scenario.Run(ctx, params)
			if err != nil {
				return errors.Wrap(err, name)
			}
			result.Rows = append(result.Rows, report.Row{
				Scenario: part.Scenario.Name, SizeName: part.Scenario.SizeName, Size: size,
				Seed: seed, Repetition: repetition, Metrics: metrics,
			})
		}
	}
	return nil
}

// writeProgress writes one line; the counts begin after the warm-up.
func writeProgress(w io.Writer, name string, warmup time.Duration, p load.Progress) {
	if p.Elapsed < warmup {
		fmt.Fprintf(w, "bench: %s: warming up\n", name)
		return
	}
	fmt.Fprintf(w, "bench: %s: %v, %d sent, %d failed\n", name, (p.Elapsed - warmup).Round(time.Second), p.Sent, p.Failed)
}
