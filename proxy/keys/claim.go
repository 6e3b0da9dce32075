package keys

import "github.com/yuccaroute/yuccaroute/store"

// Claim is the right to run the work of one key, once.
type Claim struct {
	Key Key
	// Revision is the store's revision of the record, 0 if there is none.
	Revision store.Revision
}
