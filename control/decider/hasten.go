package decider

import (
	"time"

	"github.com/yuccaroute/yuccaroute/control/ledger"
)

// hastenEvery is how often a node is asked again to report: the request or the
// report may be lost.
const hastenEvery = 3 * time.Second

// reportSlack is how late a regular report may be.
const reportSlack = 250 * time.Millisecond

// NodesToHasten returns the nodes that are to be asked to report now: their grants are
// to change, which another node may wait for, and they are at rest or have not
// reported for longer than a node does whose demand changes. They are at most as many as may
// report in a second. A node that could not be told anything for long is left
// out.
func (c *Core) NodesToHasten(now time.Time) []ledger.Node {
	var nodes []ledger.Node
	for _, node := range c.ledger.Untold() {
		r := c.reports[node.ID]
		if r == nil || c.silent(r, now) || !c.seldom(r, now) {
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

// seldom reports whether a node will not report by itself soon. One that is at rest
// does not know that there is more to come.
func (c *Core) seldom(r *reported, now time.Time) bool {
	late := r.rest > 0 || now.Sub(r.at) > c.interval()+reportSlack
	return late && now.Sub(r.hastened) >= hastenEvery
}
