// Package wire defines the JSON messages of the platform's VM list.
package wire

// A GET of DefaultPath returns a ListResponse, or status 304 when the list is
// still at the sequence given in QueryKnown.
const (
	DefaultPath = "/vms/v1"
	QueryKnown  = "known"
)

// VM is one row of the list. Addresses have the form ip:port.
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
	// VMs is an empty list, not null, when there are no VMs.
	VMs []VM `json:"vms"`
}
