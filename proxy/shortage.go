package proxy

import "time"

// shortEvery is how often the shortage of a place is told at most.
const shortEvery = 100 * time.Millisecond

// shortage tells why a place has no permission for a request.
type shortage uint8

const (
	shortNone shortage = iota
	// shortSlot: no target may get more work now.
	shortSlot
	// shortGrant: the node's grant for the place is used up.
	shortGrant
)

// tellShort tells that a request will wait for the node's grant. A wait within
// the pacing time is no shortage: requests do not come evenly.
func (s *placeState) tellShort(wait time.Duration) {
	if wait <= pacingTime {
		return
	}
	now := s.proxy.now()
	last := s.shortTold.Load()
	if last != 0 && now-last < int64(shortEvery) {
		return
	}
	if s.shortTold.CompareAndSwap(last, now) {
		s.proxy.options.OnGrantShortage(s.key.Account)
	}
}
