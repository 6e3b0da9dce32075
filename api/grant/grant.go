// Package grant holds the permission of one node to send a bounded rate of
// work to a place. The sum of all grants that may be in force anywhere never
// passes a capacity: control/ledger keeps that account, control/decider hands
// grants out, module proxy enforces them.
package grant

import "github.com/yuccaroute/yuccaroute/api/model"

// NodeID names one life of a node process: the VM's identifier and a random
// incarnation, so that a node that returns under the same address is another
// holder.
type NodeID struct {
	VM          string
	Incarnation uint64
}

// Key names what is granted.
type Key struct {
	Account model.AccountName
	Service model.ServiceName
	Place   model.PlaceName
}

// Amount is a rate in thousandths of a request per second.
type Amount uint64

// PerRequest is the Amount of one request per second.
const PerRequest Amount = 1000

// RPS returns the amount in requests per second.
func (a Amount) RPS() float64 { return float64(a) / float64(PerRequest) }

// Grant is one node's permission for one key.
type Grant struct {
	Key Key
	// Floor stays in force until the holder acknowledged a lower one or is
	// known to have ended; it carries the node through a store outage.
	Floor Amount
	// Surplus is in force on top of Floor until the set it came in expires.
	Surplus Amount
}
