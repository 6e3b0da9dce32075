package ingress

import "time"

// body is what belongs to one request from its first byte on.
type body struct {
	// began is when the request's first line was there.
	began       time.Time
	reservation Reservation
}

func (b body) release() {
	if b.reservation.Release != nil {
		b.reservation.Release()
	}
}
