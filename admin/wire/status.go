package wire

// Spreading tells where a state of an account is in force, as far as the
// answering node knows.
type Spreading struct {
	Account  string `json:"account"`
	Epoch    uint64 `json:"epoch"`
	Sequence uint64 `json:"sequence"`
	// InForce counts the nodes known to have this state or a newer one, Older
	// those known to have an older one, Unreachable those that were asked and
	// did not answer. Everywhere is true only if all nodes of the VM list are
	// in the first group.
	InForce     int         `json:"in_force"`
	Older       int         `json:"older"`
	Unreachable int         `json:"unreachable"`
	Everywhere  bool        `json:"everywhere"`
	Nodes       []NodeState `json:"nodes"`
	// VMListAgeMS is the age of the list that says which nodes there are; -1
	// when it was never read.
	VMListAgeMS int64 `json:"vm_list_age_ms"`
}

// NodeState is what is known of one node.
type NodeState struct {
	VM    string `json:"vm"`
	Place string `json:"place"`
	// State is "in-force", "older" or "unreachable".
	State    string `json:"state"`
	Epoch    uint64 `json:"epoch"`
	Sequence uint64 `json:"sequence"`
	// AgeMS is how long ago the node told it; -1 when it never did.
	AgeMS int64  `json:"age_ms"`
	Error string `json:"error,omitempty"`
}

// States of a NodeState.
const (
	NodeInForce     = "in-force"
	NodeOlder       = "older"
	NodeUnreachable = "unreachable"
)

// Whoami tells who the caller is.
type Whoami struct {
	Identity  string   `json:"identity"`
	Accounts  []string `json:"accounts"`
	Templates []string `json:"templates"`
	Role      string   `json:"role"`
}

// IdentitiesDocument is the INI document of identities.
type IdentitiesDocument struct {
	Text string `json:"text"`
	// Revision is the ETag.
	Revision uint64 `json:"revision"`
}
