package measure

import (
	"syscall"
	"time"
)

// processorTime returns what the process has used of the processors so far, 0
// if the system does not tell.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
