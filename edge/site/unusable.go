package site

// Items of a configuration that can be unusable.
const (
	ItemLimit   = "limit"
	ItemService = "service"
	ItemRoute   = "route"
	ItemAccount = "account"
	ItemKey     = "key"
)

// Unusable describes a part of a configuration that cannot be used as it is configured. The other parts are in
// force.
type Unusable struct {
	// Item is the kind of the part, one of the constants above.
	Item string
	// Name is the configured name, "" if there is none. A key has the name of its account.
	Name string
	// Row is the position in the table of its kind, from 0; limits have none.
	Row int
	// Reason never contains a key.
	Reason string
}
