// Package wire has the typed messages of the platform's VM list.
package wire

// DefaultPath answers a GET with a ListAnswer, or with status 304 when the
// list is still at the sequence named in QueryKnown.
const (
	DefaultPath = "/vms/v1"
	QueryKnown  = "known"
)

// VM is one row. Addresses are ip:port.
type VM struct {
	ID      string `json:"id"`
	Role    string `json:"role"`
	State   string `json:"state"`
	Region  string `json:"region"`
	Place   string `json:"place"`
	Account string `json:"account,omitempty"`
	Service string `json:"service,omitempty"`
	Address string `json:"address"`
	Peer    string `json:"peer,omitempty"`
}

// ListResponse is the list at one sequence.
type ListResponse struct {
	Sequence uint64 `json:"sequence"`
	// VMs is present, as an empty list, also when there are none.
	VMs []VM `json:"vms"`
}
