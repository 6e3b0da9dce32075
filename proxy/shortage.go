package proxy

// shortage tells why a place has no permission for a request.
type shortage uint8

const (
	shortNone shortage = iota
	// shortSlot: no target may get more work now.
	shortSlot
	// shortGrant: the node's grant for the place is used up.
	shortGrant
)
