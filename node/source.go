package node

import (
	"github.com/yuccaroute/yuccaroute/config/source"
	"github.com/yuccaroute/yuccaroute/spread"
)

// The source tells when it has read all and when the store last answered;
// without them an empty store would never make a node ready, and the age of the
// configuration would be too low while the store is out.
var (
	_ spread.Source     = (*source.Source)(nil)
	_ spread.Syncer     = (*source.Source)(nil)
	_ spread.LastReader = (*source.Source)(nil)
)

// accountForm is the form in which this node, as a watcher, emits accounts.
func (n *Node) accountForm() source.Form {
	if n.options.Settings.Platform.MergedAccounts {
		return source.Both
	}
	return source.Documents
}
