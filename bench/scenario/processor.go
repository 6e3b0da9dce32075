package scenario

import (
	"syscall"
	"time"

	"github.com/yuccaroute/yuccaroute/bench/report"
)

// processorTime returns the processor time this process has used. It is that
// of load and server together.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// processorMetric is the processor time for each call since before.
func processorMetric(before time.Duration, calls uint64) report.Metric {
	used := processorTime() - before
	return report.Metric{Name: "processor", Unit: "us/call", Value: float64(used.Microseconds()) / float64(max(calls, 1))}
}
