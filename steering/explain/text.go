package explain

import (
	"fmt"
	"time"

	"github.com/yuccaroute/yuccaroute/steering"
)

// textOf returns a reason as one sentence with its values.
func textOf(r *steering.Reason) string {
	switch r.Kind {
	case steering.KindLatency:
		return fmt.Sprintf("%s answers soonest: %.1f ms", r.Place, r.Value)
	case steering.KindHeadroom:
		return fmt.Sprintf("%s is used to keep headroom elsewhere; it is %.0f %% busy, the target is %.0f %%", r.Place, 100*r.Value, 100*r.Limit)
	case steering.KindCapacity:
		return fmt.Sprintf("%s is full: %.0f of %.0f requests/s", r.Place, r.Value, r.Limit)
	case steering.KindRegion:
		return fmt.Sprintf("the region of %s is full: %.0f of %.0f requests/s", r.Place, r.Value, r.Limit)
	case steering.KindLink:
		return fmt.Sprintf("the link into the region of %s is full: %.0f of %.0f requests/s", r.Place, r.Value, r.Limit)
	case steering.KindMoveCap:
		return fmt.Sprintf("the move cap holds the rest back: %.1f %% moved within the window or kept for callers of VMs out of step, the cap is %.1f %%", 100*r.Value, 100*r.Limit)
	case steering.KindCold:
		return fmt.Sprintf("%s takes more by steps: raised by %.1f of %.1f requests/s in this step", r.Place, r.Value, r.Limit)
	case steering.KindSlow:
		return fmt.Sprintf("%s is slow: p99 %.1f ms, it takes more below %.1f ms", r.Place, r.Value, r.Limit)
	case steering.KindDrain:
		return fmt.Sprintf("%s is draining: %.2f %% left, %s to its end", r.Place, 100*r.Value, seconds(r.Wait))
	case steering.KindDrainLate:
		return fmt.Sprintf("the drain of %s cannot end on schedule within the move cap: %.2f %% will be left, it ends %s late", r.Place, 100*r.Value, seconds(r.Wait))
	default:
		return stateText(r)
	}
}

func stateText(r *steering.Reason) string {
	switch r.Kind {
	case steering.KindStale:
		return fmt.Sprintf("the measurements are %.0f s old; nothing is increased from %.0f s on", r.Value, r.Limit)
	case steering.KindUnknown:
		return fmt.Sprintf("nothing is known of %s yet: it takes at most %.1f %%", r.Place, 100*r.Limit)
	case steering.KindFailure:
		return fmt.Sprintf("%s fails: %.0f %% of it, it takes no more from %.0f %% on", r.Place, 100*r.Value, 100*r.Limit)
	case steering.KindHoldDown:
		return fmt.Sprintf("%s failed lately: work may return in %s", r.Place, seconds(r.Wait))
	case steering.KindBusy:
		return fmt.Sprintf("%s, its region or the link into it is %.0f %% busy, the target is %.0f %%", r.Place, 100*r.Value, 100*r.Limit)
	case steering.KindRemoved:
		return fmt.Sprintf("the configuration has no capacity for the service in %s", r.Place)
	default:
		return r.Kind.String()
	}
}

func seconds(d time.Duration) string {
	return fmt.Sprintf("%.0f s", d.Seconds())
}
