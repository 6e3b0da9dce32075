package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since the machine started, suspensions included;
// see clock_gettime(2), CLOCK_BOOTTIME. Every Linux that Go supports has it.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
