package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since boot, including suspensions; see CLOCK_BOOTTIME
// in clock_gettime(2). Every Linux version supported by Go provides it.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
