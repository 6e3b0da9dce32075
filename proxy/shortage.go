package proxy

import "time"

// shortageReportInterval is the least time between two reports of a shortage of
// a place.
const shortageReportInterval = 100 * time.Millisecond

// shortage is the reason why a place has no permission for a request.
type shortage uint8

const (
	noShortage shortage = iota
	// slotShortage: no target may get more requests now.
	slotShortage
	// grantShortage: the node's grant for the place is used up.
	grantShortage
)

// reportShortage reports that a request will wait for the node's grant. Waits
// within maxPacingDelay are not reported: they only smooth uneven arrivals.
func (s *placeState) reportShortage(wait time.Duration) {
	if wait <= maxPacingDelay {
		return
	}
	now := s.proxy.now()
	last := s.shortageReportedAt.Load()
	if last != 0 && now-last < int64(shortageReportInterval) {
		return
	}
	if s.shortageReportedAt.CompareAndSwap(last, now) {
		s.proxy.options.OnGrantShortage(s.key.Account)
	}
}
