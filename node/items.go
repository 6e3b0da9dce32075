package node

import (
	"strings"

	"github.com/goccy/go-json"
	"google.golang.org/protobuf/proto"

	"github.com/yuccaroute/yuccaroute/api/content"
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/api/plan"
	"github.com/yuccaroute/yuccaroute/config"
	"github.com/yuccaroute/yuccaroute/config/changelog"
	"github.com/yuccaroute/yuccaroute/config/source"
	"github.com/yuccaroute/yuccaroute/control"
	"github.com/yuccaroute/yuccaroute/node/merge"
	"github.com/yuccaroute/yuccaroute/spread"
	"github.com/yuccaroute/yuccaroute/spread/item"
)

// subscribe hands each item that arrives to the parts that use it.
func (n *Node) subscribe() {
	n.spread.OnItem(source.KeyPrefix, n.onAccount)
	n.spread.OnItem(control.PlanPrefix, n.onPlan)
	n.spread.OnItem(source.HeadKeyPrefix, n.onHead)
	n.spread.OnItem(source.TemplateKeyPrefix, n.merger.OnItem)
	n.spread.OnItem(source.DocumentKeyPrefix, n.merger.OnItem)
	n.spread.OnItem(source.CutKeyPrefix, n.merger.OnItem)
}

// onHead tells the guard which state of a template is in force elsewhere. A
// node that starts after the store was restored from a copy would else take the
// older state in the store for the newest.
func (n *Node) onHead(it item.Item) {
	source.Learn(n.changes.Guard(), it.Key, it.Epoch, it.Sequence, it.Body)
}

// onAccount puts an account in force that arrived merged. An item that does not
// decode leaves the account as it is: it was checked before it was accepted, so
// it comes from a newer release, and the older state in force is better than
// none.
func (n *Node) onAccount(it item.Item) {
	name := model.AccountName(strings.TrimPrefix(it.Key, source.KeyPrefix))
	state := merge.State{Version: changelog.Version{Epoch: it.Epoch, Sequence: it.Sequence}}
	if it.Deleted {
		n.Remove(name, state)
		return
	}
	account, err := config.Decode(it.Body)
	if err != nil {
		n.log.WithError(err).WithField("account", name).Error("node: cannot read an account")
		return
	}
	items := n.spread.Snapshot()
	if overtaken(items, account, state) {
		return
	}
	callers, ok := callerBodies(account, items)
	if !ok {
		// Content is held as long as the state that names it, so a later state is on
		// its way.
		return
	}
	if err := n.Put(account, callers, state); err != nil {
		n.log.WithError(err).WithField("account", name).Error("node: cannot read the caller blocks of an account")
	}
}

// overtaken reports whether the account's template is spread in documents of the
// same or a later cut. Accounts that arrived merged before that stay among the
// items; a node that starts gets both, and must not go back to the older one until
// it has merged the documents.
func overtaken(items *item.Snapshot, account *model.Account, state merge.State) bool {
	it, ok := items.Get(source.CutKey(account.Template))
	if !ok {
		return false
	}
	cut, err := source.DecodeCut(it.Body)
	return err == nil && cut.Merged && !(changelog.Version{Epoch: it.Epoch, Sequence: it.Sequence}).Less(state.Version)
}

// State implements merge.Accounts.
func (n *Node) State(name model.AccountName) (merge.State, bool) { return n.accounts.state(name) }

// Put implements merge.Accounts. Accounts arrive merged and as documents, in two
// goroutines; the lock makes the later state win in every order.
func (n *Node) Put(account *model.Account, callers [][]byte, state merge.State) error {
	n.putting.Lock()
	defer n.putting.Unlock()
	if old, known := n.accounts.state(account.Name); known && !state.Replaces(old) {
		return nil
	}
	withBlocks := account
	if len(account.CallerSets) > 0 && !n.lookup.HasBlocks(account.CallerSets) {
		var err error
		if withBlocks, err = withCallers(account, callers); err != nil {
			return err
		}
	}
	n.lookup.SetAccount(withBlocks)
	n.proxy.SetAccount(account)
	// Last, as operators read from here what is in force: requests are served by
	// it by then.
	n.accounts.set(account, callers, state)
	return nil
}

// Remove implements merge.Accounts.
func (n *Node) Remove(name model.AccountName, state merge.State) {
	n.putting.Lock()
	defer n.putting.Unlock()
	if old, known := n.accounts.state(name); known && !state.Replaces(old) {
		return
	}
	n.accounts.remove(name, state)
	n.lookup.RemoveAccount(name)
	n.proxy.RemoveAccount(name)
}

// callerBodies returns the content that the account names; ok is false when some
// is not held any more.
func callerBodies(account *model.Account, items *item.Snapshot) (bodies [][]byte, ok bool) {
	for _, name := range account.CallerSets {
		it, held := items.Get(name.Key())
		if !held {
			return nil, false
		}
		bodies = append(bodies, it.Body)
	}
	return bodies, true
}

// withCallers returns the account with its caller blocks as a list. The list is
// several times larger than the look-up's table: do not keep it.
func withCallers(account *model.Account, bodies [][]byte) (*model.Account, error) {
	if len(account.CallerSets) == 0 {
		return account, nil
	}
	callers, err := config.DecodeCallers(bodies)
	if err != nil {
		return nil, err
	}
	whole := *account
	whole.Callers = callers
	return &whole, nil
}

// namedContent returns the content that an item names.
func namedContent(key string, body []byte) []content.Name {
	if strings.HasPrefix(key, source.KeyPrefix) || strings.HasPrefix(key, source.DocumentKeyPrefix) {
		return config.CallerSets(body)
	}
	return nil
}

// versionInForce tells peers which version of an account requests are served by.
func (n *Node) versionInForce(key string) (version spread.ActiveVersion, known bool) {
	name, isAccount := strings.CutPrefix(key, source.KeyPrefix)
	if !isAccount {
		return spread.ActiveVersion{}, false
	}
	at, has := n.accounts.state(model.AccountName(name))
	return spread.ActiveVersion{Has: has, Epoch: at.Version.Epoch, Sequence: at.Version.Sequence}, true
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
