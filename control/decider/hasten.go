package decider

import (
	"time"

	"github.com/yuccaroute/yuccaroute/control/ledger"
)

// hastenInterval is the time between two requests to the same node, since a request
// or its report may be lost.
const hastenInterval = 3 * time.Second

// reportSlack is how late a regular report may arrive.
const reportSlack = 250 * time.Millisecond

// NodesToHasten returns the nodes to ask for an immediate report: their grants are
// about to change, and they report at the steady interval or are overdue. It returns
// at most as many nodes as may report in a second, and no silent ones.
func (c *Core) NodesToHasten(now time.Time) []ledger.Node {
	var nodes []ledger.Node
	for _, node := range c.ledger.OutdatedNodes() {
		r := c.reports[node.ID]
		if r == nil || c.silent(r, now) || !c.needsHasten(r, now) {
			continue
		}
		if len(nodes) == max(c.options.ReportsPerSecond, 1) {
			break
		}
		r.hastened = now
		nodes = append(nodes, node)
	}
	return nodes
}

// needsHasten reports whether a node will not report by itself soon and was not
// asked recently. A node at the steady interval does not know that its grants will
// change.
func (c *Core) needsHasten(r *nodeState, now time.Time) bool {
	late := r.steadyFor > 0 || now.Sub(r.receivedAt) > c.reportInterval()+reportSlack
	return late && now.Sub(r.hastened) >= hastenInterval
}
