//go:build !linux

package clock

import "time"

// sinceBoot always returns zero, so no suspension is detected.
func sinceBoot() time.Duration { return 0 }
