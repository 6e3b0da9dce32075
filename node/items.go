package node

import (
	"strings"

	"github.com/goccy/go-json"
	"google.golang.org/protobuf/proto"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/api/plan"
	"github.com/yuccaroute/yuccaroute/config"
	"github.com/yuccaroute/yuccaroute/config/changelog"
	"github.com/yuccaroute/yuccaroute/config/source"
	"github.com/yuccaroute/yuccaroute/control"
	"github.com/yuccaroute/yuccaroute/spread"
	"github.com/yuccaroute/yuccaroute/spread/item"
)

// subscribe hands each item that arrives to the parts that use it.
func (n *Node) subscribe() {
	n.spread.OnItem(source.KeyPrefix, n.onAccount)
	n.spread.OnItem(control.PlanPrefix, n.onPlan)
	n.spread.OnItem(source.HeadKeyPrefix, n.onHead)
}

// onHead tells the guard which state of a template is in force elsewhere. A
// node that starts after the store was restored from a copy would else take the
// older state in the store for the newest.
func (n *Node) onHead(it item.Item) {
	source.Learn(n.changes.Guard(), it.Key, it.Epoch, it.Sequence, it.Body)
}

// onAccount puts an account in force. An item that does not decode leaves the
// account as it is: it was checked before it was accepted, so it comes from a
// newer release, and the older state in force is better than none.
func (n *Node) onAccount(it item.Item) {
	name := model.AccountName(strings.TrimPrefix(it.Key, source.KeyPrefix))
	if it.Deleted {
		n.accounts.remove(name)
		n.lookup.RemoveAccount(name)
		n.proxy.RemoveAccount(name)
		return
	}
	account, err := config.Decode(it.Body)
	if err != nil {
		n.log.WithError(err).WithField("account", name).Error("node: cannot read an account")
		return
	}
	n.lookup.SetAccount(account)
	n.proxy.SetAccount(account)
	// Last, as operators read from here what is in force: requests are served by
	// it by then.
	n.accounts.set(account, changelog.Version{Epoch: it.Epoch, Sequence: it.Sequence})
}

// versionInForce tells peers which version of an account requests are served by.
func (n *Node) versionInForce(key string) (version spread.VersionInForce, known bool) {
	name, isAccount := strings.CutPrefix(key, source.KeyPrefix)
	if !isAccount {
		return spread.VersionInForce{}, false
	}
	at, has := n.accounts.version(model.AccountName(name))
	return spread.VersionInForce{Has: has, Epoch: at.Epoch, Sequence: at.Sequence}, true
}

func (n *Node) onPlan(it item.Item) {
	if it.Deleted {
		return
	}
	p := &plan.Plan{}
	if err := json.Unmarshal(it.Body, p); err != nil {
		n.log.WithError(err).WithField("item", it.Key).Error("node: cannot read a plan")
		return
	}
	n.proxy.SetPlan(p)
}

// deciderOf returns the decider last heard of for an account.
func (n *Node) deciderOf(name model.AccountName) (*peerpb.NodeRef, uint64, bool) {
	it, ok := n.spread.Get(control.DeciderPrefix + string(name))
	if !ok {
		return nil, 0, false
	}
	ref := &peerpb.NodeRef{}
	if err := proto.Unmarshal(it.Body, ref); err != nil {
		return nil, 0, false
	}
	return ref, it.Epoch, true
}

// publish spreads an item that this node made.
func (n *Node) publish(key string, epoch, sequence uint64, body []byte) {
	if err := n.spread.Publish(key, epoch, sequence, body); err != nil {
		n.log.WithError(err).WithField("item", key).Error("node: cannot publish")
	}
}
