//go:build !linux

package clock

import "time"

// sinceBoot tells nothing: no suspension is ever seen.
func sinceBoot() time.Duration { return 0 }
