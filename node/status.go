package node

import (
	"context"
	"net/netip"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/control"
	"github.com/yuccaroute/yuccaroute/control/relay"
	"github.com/yuccaroute/yuccaroute/spread"
)

// Status is what a node knows of itself at one moment.
type Status struct {
	VM          string            `json:"vm"`
	Incarnation uint64            `json:"incarnation"`
	Ready       bool              `json:"ready"`
	Leaving     bool              `json:"leaving"`
	InFlight    int               `json:"in_flight"`
	Accounts    []AccountRevision `json:"accounts"`
	// VMListAgeMs is the age of the last reading, -1 before the first.
	VMListAgeMs int64                   `json:"vm_list_age_ms"`
	Spread      spread.Status           `json:"spread"`
	Control     []control.AccountStatus `json:"control"`
	// Relay is what the node has passed on for nodes of its failure domain.
	Relay relay.Status `json:"relay"`
}

// AccountRevision is an account in force.
type AccountRevision struct {
	Account  model.AccountName `json:"account"`
	Revision uint64            `json:"revision"`
}

// Status returns what the node knows.
func (n *Node) Status() Status {
	s := Status{
		VM:          n.id.VM,
		Incarnation: n.id.Incarnation,
		Ready:       n.ready(),
		Leaving:     n.leaving.Load(),
		InFlight:    n.proxy.InFlight(),
		VMListAgeMs: -1,
		Spread:      n.spread.Status(),
		Control:     n.control.Status(),
		Relay:       n.control.RelayStatus(),
	}
	s.Accounts = n.Accounts()
	if _, age, ok := n.membersWithAge(); ok {
		s.VMListAgeMs = age.Milliseconds()
	}
	return s
}

// Running reports whether the node was not closed.
func (n *Node) Running() bool { return !n.closed.Load() }

// Accounts returns the accounts in force and their revisions.
func (n *Node) Accounts() []AccountRevision {
	var revisions []AccountRevision
	for _, a := range n.accounts.all() {
		revisions = append(revisions, AccountRevision{Account: a.Name, Revision: a.Revision})
	}
	return revisions
}

// CallerRegion returns the region in which an account in force places an
// address. It is false for an unknown account or an address in none of its
// blocks.
func (n *Node) CallerRegion(account model.AccountName, address netip.Addr) (model.RegionName, bool) {
	return n.lookup.CallerRegion(account, address)
}

// servingPoll is how often WaitServing looks.
const servingPoll = 20 * time.Millisecond

// WaitServing returns when the node has the account, a plan and grants in
// force, or with the context's error.
func (n *Node) WaitServing(ctx context.Context, account model.AccountName) error {
	for !n.serving(account) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(servingPoll):
		}
	}
	return nil
}

func (n *Node) serving(account model.AccountName) bool {
	if _, ok := n.spread.Get(control.PlanPrefix + string(account)); !ok {
		return false
	}
	for _, s := range n.control.Status() {
		if s.Account == account {
			return n.accounts.get(account) != nil && s.Holder.Set != nil && len(s.Holder.Set.Grants) > 0
		}
	}
	return false
}
