package load

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the recorded latencies.
const (
	minLatency        = time.Microsecond
	maxLatency        = MaxDuration
	significantDigits = 3
)

// worker makes one of the run's calls at a time.
type worker struct {
	number   int
	options  Options
	start    time.Time
	schedule *schedule
	latency  *hdrhistogram.Histogram
	// wake is how late the system's timer woke the idle worker: the load
	// tool's own part of the latencies.
	wake   *hdrhistogram.Histogram
	codes  map[int]uint64
	late   uint64
	sent   atomic.Uint64
	failed atomic.Uint64
}

func newWorker(number int, o Options, start time.Time) *worker {
	return &worker{
		number:   number,
		options:  o,
		start:    start,
		schedule: newSchedule(o, number),
		latency:  newHistogram(),
		wake:     newHistogram(),
		codes:    make(map[int]uint64),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(int64(minLatency), int64(maxLatency), significantDigits)
}

func (w *worker) run(ctx context.Context, call Call) {
	end := w.options.Warmup + w.options.Duration
	for number := uint64(0); ctx.Err() == nil; number++ {
		due := w.schedule.next()
		if due >= end {
			return
		}
		wait := due - time.Since(w.start)
		if wait > 0 {
			time.Sleep(wait)
			_ = w.wake.RecordValue(int64(clamp(time.Since(w.start) - due)))
		}
		code, err := call(ctx, w.number, number)
		if due >= w.options.Warmup {
			w.record(due, wait < 0, code, err)
		}
	}
}

func (w *worker) record(due time.Duration, late bool, code int, err error) {
	w.sent.Add(1)
	w.codes[code]++
	if late {
		w.late++
	}
	if err != nil {
		w.failed.Add(1)
		return
	}
	_ = w.latency.RecordValue(int64(clamp(time.Since(w.start) - due)))
}

func clamp(d time.Duration) time.Duration { return min(max(d, minLatency), maxLatency) }

// watch reports progress until the returned function is called.
func watch(workers []*worker, start time.Time, progress func(Progress)) (stop func()) {
	if progress == nil {
		return func() {}
	}
	ended := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case <-ended:
				return
			case <-ticker.C:
				progress(progressOf(workers, time.Since(start)))
			}
		}
	}()
	return func() {
		close(ended)
		<-done
	}
}

func progressOf(workers []*worker, elapsed time.Duration) Progress {
	p := Progress{Elapsed: elapsed}
	for _, w := range workers {
		p.Sent += w.sent.Load()
		p.Failed += w.failed.Load()
	}
	return p
}
