package keys

import "github.com/yuccaroute/yuccaroute/store"

// Claim is the exclusive right to run the request of one key, once.
type Claim struct {
	Key Key
	// ID is unique among the claims of the same key.
	ID string
	// Revision is the store revision of the record, 0 if the record is not known
	// to exist.
	Revision store.Revision
}
