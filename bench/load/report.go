package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is what one run measured. Latencies are of the calls that did not
// fail, in microseconds, from the moment the call was due.
type Report struct {
	OfferedPerSecond float64 `json:"offered_per_second"`
	DonePerSecond    float64 `json:"done_per_second"`
	Sent             uint64  `json:"sent"`
	Failed           uint64  `json:"failed"`
	// Late counts calls that were due while their worker was still busy.
	Late   uint64         `json:"late"`
	Codes  map[int]uint64 `json:"codes"`
	MeanUS float64        `json:"mean_us"`
	P50US  float64        `json:"p50_us"`
	P99US  float64        `json:"p99_us"`
	P999US float64        `json:"p999_us"`
	MaxUS  float64        `json:"max_us"`
	// WakeP50US and WakeP99US are how late idle workers were woken. They are
	// part of the latencies, and of the load tool's making.
	WakeP50US float64 `json:"wake_p50_us"`
	WakeP99US float64 `json:"wake_p99_us"`
}

func merge(workers []*worker, o Options, elapsed time.Duration) *Report {
	r := &Report{OfferedPerSecond: o.Rate, Codes: make(map[int]uint64)}
	all, wake := newHistogram(), newHistogram()
	for _, w := range workers {
		r.Sent += w.sent.Load()
		r.Failed += w.failed.Load()
		r.Late += w.late
		for code, n := range w.codes {
			r.Codes[code] += n
		}
		all.Merge(w.latency)
		wake.Merge(w.wake)
	}
	if elapsed > 0 {
		r.DonePerSecond = float64(r.Sent-r.Failed) / elapsed.Seconds()
	}
	r.MeanUS = all.Mean() / float64(time.Microsecond)
	r.P50US = quantile(all, 50)
	r.P99US = quantile(all, 99)
	r.P999US = quantile(all, 99.9)
	r.MaxUS = float64(all.Max()) / float64(time.Microsecond)
	r.WakeP50US = quantile(wake, 50)
	r.WakeP99US = quantile(wake, 99)
	return r
}

func quantile(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / float64(time.Microsecond)
}
