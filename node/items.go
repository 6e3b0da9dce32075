package node

import (
	"strings"
	"time"

	"github.com/goccy/go-json"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/yuccaroute/yuccaroute/api/content"
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
	withBlocks := account
	if len(account.CallerSets) > 0 && !n.lookup.HasBlocks(account.CallerSets) {
		withBlocks, err = withCallers(account, n.spread.Snapshot())
	}
	if errors.Is(err, errContentGone) {
		return
	}
	if err != nil {
		n.log.WithError(err).WithField("account", name).Error("node: cannot read the caller blocks of an account")
		return
	}
	n.lookup.SetAccount(withBlocks)
	n.proxy.SetAccount(account)
	// Last, as operators read from here what is in force: requests are served by
	// it by then.
	n.accounts.set(account, changelog.Version{Epoch: it.Epoch, Sequence: it.Sequence})
}

// errContentGone tells that content an account names is not held any more. It
// is held as long as the state that names it, so a later state is on its way.
var errContentGone = errors.New("node: the account's caller blocks are not held any more")

// withCallers returns the account with its caller blocks as a list. The list is
// several times larger than the look-up's table: do not keep it.
func withCallers(account *model.Account, items *item.Snapshot) (*model.Account, error) {
	if len(account.CallerSets) == 0 {
		return account, nil
	}
	sets := make([][]byte, 0, len(account.CallerSets))
	for _, name := range account.CallerSets {
		it, ok := items.Get(name.Key())
		if !ok {
			return nil, errContentGone
		}
		sets = append(sets, it.Body)
	}
	callers, err := config.DecodeCallers(sets)
	if err != nil {
		return nil, err
	}
	whole := *account
	whole.Callers = callers
	return &whole, nil
}

// replacing returns the state that takes the place of one whose content is not
// held any more, and is about to be in force.
func (n *Node) replacing(old inForce, items *item.Snapshot) (inForce, *model.Account, error) {
	it, ok := items.Get(source.Key(string(old.account.Name)))
	if !ok || it.Deleted {
		return old, nil, errContentGone
	}
	account, err := config.Decode(it.Body)
	if err != nil {
		return old, nil, err
	}
	next := inForce{account: account, version: changelog.Version{Epoch: it.Epoch, Sequence: it.Sequence}, since: time.Now()}
	// A snapshot that shows an item shows its content.
	whole, err := withCallers(account, items)
	return next, whole, err
}

// namedContent returns the content that an item names.
func namedContent(key string, body []byte) []content.Name {
	if !strings.HasPrefix(key, source.KeyPrefix) {
		return nil
	}
	return config.CallerSets(body)
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
