package quarantine

import "github.com/yuccaroute/yuccaroute/edge/broadcast"

// Event is an observation about one request: a target crashed while processing it or answered it.
type Event struct {
	Request Fingerprint `msgpack:"r"`
	// Target identifies the incarnation of the target that crashed, 0 if a target answered.
	Target uint64 `msgpack:"t"`
}

// Answered reports whether a target answered the request.
func (e Event) Answered() bool { return e.Target == 0 }

// newJournal returns a queue in which the crashes under a request and its answer exclude each other.
func newJournal() *broadcast.Queue[Event] {
	return &broadcast.Queue[Event]{Contradicts: func(old, added Event) bool {
		return old.Request == added.Request && old.Answered() != added.Answered()
	}}
}
