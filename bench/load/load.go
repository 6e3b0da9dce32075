// Package load offers calls at a fixed rate, whether or not earlier calls have
// ended (open loop). Each call's latency counts from the moment it was due, so
// that a server that stalls is charged for every call that the stall held
// back; counting from the moment of sending would leave those out
// (coordinated omission).
package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Bounds of one run, which keep a mistyped experiment from taking the machine.
const (
	MaxRate     = 1_000_000
	MaxDuration = 10 * time.Minute
	MaxWorkers  = 512
)

// Call is one call of the load. Number counts the worker's calls from 0. The
// returned code is counted; the call failed if the error is not nil.
type Call func(ctx context.Context, worker int, number uint64) (code int, err error)

// Options describe one run.
type Options struct {
	// Rate is the calls offered each second, over all workers.
	Rate float64
	// Warmup is offered first and not counted.
	Warmup time.Duration
	// Duration is the counted part.
	Duration time.Duration
	// Workers is how many calls may be open at once. Calls beyond it wait, and
	// their wait counts.
	Workers int
	// Seed makes the arrival times repeatable.
	Seed uint64
	// Progress, if set, is called about once a second.
	Progress func(Progress)
}

// Progress is the state of a run that goes on.
type Progress struct {
	Elapsed      time.Duration
	Sent, Failed uint64
}

func (o Options) check() error {
	switch {
	case o.Rate <= 0 || o.Rate > MaxRate:
		return errors.Errorf("rate %v is not in (0, %v] calls/s", o.Rate, MaxRate)
	case o.Duration <= 0 || o.Warmup < 0 || o.Warmup+o.Duration > MaxDuration:
		return errors.Errorf("warm-up %v and duration %v are not in (0, %v] together", o.Warmup, o.Duration, MaxDuration)
	case o.Workers < 1 || o.Workers > MaxWorkers:
		return errors.Errorf("workers %d is not in [1, %d]", o.Workers, MaxWorkers)
	}
	return nil
}

// Run offers the load and returns what was measured. It ends by itself after
// Warmup and Duration, when every due call has been made, or when ctx ends.
func Run(ctx context.Context, o Options, call Call) (*Report, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	start := time.Now()
	workers := make([]*worker, o.Workers)
	var running sync.WaitGroup
	for i := range workers {
		w := newWorker(i, o, start)
		workers[i] = w
		running.Go(func() { w.run(ctx, call) })
	}
	stop := watch(workers, start, o.Progress)
	running.Wait()
	stop()
	return merge(workers, o, time.Since(start)-o.Warmup), ctx.Err()
}

// schedule yields the due times of one worker's calls: a Poisson process, as
// independent callers make together.
type schedule struct {
	random *rand.Rand
	mean   float64
	due    time.Duration
}

func newSchedule(o Options, worker int) *schedule {
	return &schedule{
		random: rand.New(rand.NewPCG(o.Seed, uint64(worker))),
		mean:   float64(time.Second) * float64(o.Workers) / o.Rate,
	}
}

func (s *schedule) next() time.Duration {
	s.due += time.Duration(s.random.ExpFloat64() * s.mean)
	return s.due
}
