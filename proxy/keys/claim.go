package keys

import "github.com/yuccaroute/yuccaroute/store"

// Claim is the right to run the work of one key, once.
type Claim struct {
	Key Key
	// ID tells this claim from every other one of the same key.
	ID string
	// Revision is the store's revision of the record, 0 if it is not known to
	// be there.
	Revision store.Revision
}
