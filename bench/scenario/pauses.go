package scenario

import (
	"math"
	"runtime/metrics"
	"time"
)

// pauseMetric is the runtime's histogram of the pauses in which the collector
// stops all goroutines. Readers take no lock, so a swap can stop them in no
// other way; gaps that a reader sees on its clock include the system's
// scheduling of a busy machine.
const pauseMetric = "/sched/pauses/total/gc:seconds"

// pauseMeter tells the longest pause since it was made.
type pauseMeter struct {
	before []uint64
}

func newPauseMeter() *pauseMeter {
	h := readPauses()
	return &pauseMeter{before: append([]uint64(nil), h.Counts...)}
}

// longest returns the upper edge of the last bucket that has grown.
func (m *pauseMeter) longest() time.Duration {
	h := readPauses()
	for i := len(h.Counts) - 1; i >= 0; i-- {
		if h.Counts[i] == m.before[i] {
			continue
		}
		edge := h.Buckets[i+1]
		if math.IsInf(edge, 1) {
			edge = h.Buckets[i]
		}
		return time.Duration(edge * float64(time.Second))
	}
	return 0
}

func readPauses() *metrics.Float64Histogram {
	sample := []metrics.Sample{{Name: pauseMetric}}
	metrics.Read(sample)
	return sample[0].Value.Float64Histogram()
}
