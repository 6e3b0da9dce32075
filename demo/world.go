// Package demo runs the whole system in one process against stand-ins: the
// platform, the targets of both example accounts, entry nodes and callers. An
// independent checker compares what callers were told with what targets ran.
package demo

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/wait"
	"github.com/yuccaroute/yuccaroute/config"
	"github.com/yuccaroute/yuccaroute/config/changelog"
	"github.com/yuccaroute/yuccaroute/config/examples"
	"github.com/yuccaroute/yuccaroute/config/settings"
	"github.com/yuccaroute/yuccaroute/httpserver"
	"github.com/yuccaroute/yuccaroute/membership"
	"github.com/yuccaroute/yuccaroute/node"
	"github.com/yuccaroute/yuccaroute/standin/platform"
)

// Accounts returns the names of the client accounts that run.
func Accounts() []string {
	var names []string
	for _, pair := range examples.Pairs() {
		names = append(names, pair.Account)
	}
	return names
}

// World is everything that runs.
type World struct {
	Platform *platform.Server
	Tenants  []*Tenant
	log      *logrus.Logger
}

// Tenant is one client account with its places, targets and entry nodes.
type Tenant struct {
	Account *model.Account
	Targets []*runningTarget
	Nodes   []*node.Node
	network *network
}

// listLag is how long a change stays hidden in the VM list.
const listLag = time.Second

// nodesPerPlace is how many entry VMs each failure domain has.
const nodesPerPlace = 1

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// NewWorld starts the platform, commits both example accounts and starts
// targets and nodes. After an error everything is stopped again.
func NewWorld(ctx context.Context, seed uint64, logs io.Writer) (*World, error) {
	log := logrus.New()
	log.SetOutput(logs)
	// The relays and some libraries write to the standard logger.
	logrus.SetOutput(logs)
	httpserver.UseLog(log)
	w := &World{
		Platform: platform.New(platform.Options{Address: "127.0.0.1:0", ListLag: listLag}),
		log:      log,
	}
	if err := w.Platform.Start(); err != nil {
		return nil, err
	}
	if err := w.fill(ctx, seed); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

// fill adds the tenants, lists all VMs and starts the nodes.
func (w *World) fill(ctx context.Context, seed uint64) error {
	for i, pair := range examples.Pairs() {
		tenant, err := w.addTenant(ctx, pair, seed+uint64(i)<<16)
		if err != nil {
			return errors.Wrapf(err, "demo: account %s", pair.Account)
		}
		w.Tenants = append(w.Tenants, tenant)
	}
	w.listAll()
	for _, t := range w.Tenants {
		for _, n := range t.Nodes {
			n.Start()
		}
	}
	return nil
}

func (w *World) addTenant(ctx context.Context, pair examples.Pair, seed uint64) (*Tenant, error) {
	account, err := w.commit(ctx, pair)
	if err != nil {
		return nil, err
	}
	t := &Tenant{Account: account, network: newNetwork(account)}
	if t.Targets, err = startTargets(account, seed); err != nil {
		return nil, err
	}
	for _, target := range t.Targets {
		place := model.Place{Name: target.vm.Place, Region: target.vm.Region}
		t.network.add(target.vm.Address.String(), place)
	}
	for _, place := range account.Places {
		for number := range nodesPerPlace {
			n, err := w.newNode(t.network, place, number)
			if err != nil {
				return nil, err
			}
			t.network.add(n.VM().Peer.String(), place)
			t.Nodes = append(t.Nodes, n)
		}
	}
	return t, nil
}

// commit writes the template and the account to the store as an operator does.
func (w *World) commit(ctx context.Context, pair examples.Pair) (*model.Account, error) {
	changes := changelog.New(w.Platform.KV(), changelog.Options{})
	documents := []changelog.Change{
		{Kind: changelog.KindTemplate, Name: pair.Template, Text: examples.Text(pair.Template)},
		{Kind: changelog.KindAccount, Name: pair.Account, Text: examples.Text(pair.Account)},
	}
	for _, change := range documents {
		change.ID = "demo-" + string(change.Kind) + "-" + change.Name
		change.Who = "demo"
		change.Template = pair.Template
		if _, err := changes.Apply(ctx, change); err != nil {
			return nil, err
		}
	}
	return resolve(pair)
}

// resolve returns an example account with its template applied.
func resolve(pair examples.Pair) (*model.Account, error) {
	template, err := config.ParseTemplate(pair.Template, examples.Text(pair.Template))
	if err != nil {
		return nil, err
	}
	account, err := config.ParseAccount(pair.Account, examples.Text(pair.Account))
	if err != nil {
		return nil, err
	}
	resolved, err := config.Resolve(template, account)
	if err != nil {
		return nil, err
	}
	return resolved.Account, nil
}

func (w *World) newNode(network *network, place model.Place, number int) (*node.Node, error) {
	vm := fmt.Sprintf("entry-%s-%d", place.Name, number+1)
	relay, err := network.platformFor(vm, w.Platform.Addr(), place.Region)
	if err != nil {
		return nil, err
	}
	platformAddress := netip.MustParseAddrPort(relay)
	s := settings.Defaults(
		settings.Node{VM: vm, Region: place.Region, FailureDomain: place.Name},
		settings.Listen{Callers: anyPort, Admin: anyPort, Peers: anyPort},
		platformAddress, platformAddress,
	)
	s.Admin.Open = true
	return node.New(node.Options{Settings: s, Logger: w.log, Dial: network.dialer(place)})
}

// listAll puts every VM into the platform's list.
func (w *World) listAll() {
	var vms []membership.VM
	for _, t := range w.Tenants {
		for _, target := range t.Targets {
			vms = append(vms, target.vm)
		}
		for _, n := range t.Nodes {
			vms = append(vms, n.VM())
		}
	}
	w.Platform.SetVMs(vms...)
}

// grantPoll is how often WaitReady looks for grants.
const grantPoll = 20 * time.Millisecond

// WaitReady returns when every node serves and has a grant for each service in
// each place of its own region, or with the context's error. A node that starts
// last serves before the others gave up a part of what they were granted; its
// first callers would be refused, which is no part of a steady run.
func (w *World) WaitReady(ctx context.Context) error {
	for _, t := range w.Tenants {
		for _, n := range t.Nodes {
			if err := n.WaitServing(ctx, t.Account.Name); err != nil {
				return errors.Wrap(err, "demo: a node does not serve")
			}
			for !t.hasGrants(n) {
				if !wait.For(ctx, grantPoll) {
					return errors.Wrapf(ctx.Err(), "demo: %s has no grant for a place of its region", n.VM().ID)
				}
			}
		}
	}
	return nil
}

// hasGrants reports whether a node may send requests of each service to each
// place of its own region.
func (t *Tenant) hasGrants(n *node.Node) bool {
	granted := make(map[grant.Key]bool)
	for _, status := range n.Status().Control {
		if status.Account != t.Account.Name || status.Holder.Set == nil {
			continue
		}
		for _, g := range status.Holder.Set.Grants {
			granted[g.Key] = g.Floor+g.Surplus > 0
		}
	}
	for i := range t.Account.Services {
		for _, place := range t.Account.Places {
			key := grant.Key{Account: t.Account.Name, Service: t.Account.Services[i].Name, Place: place.Name}
			if place.Region == n.VM().Region && !granted[key] {
				return false
			}
		}
	}
	return true
}

// Close stops everything.
func (w *World) Close() {
	var ends sync.WaitGroup
	for _, t := range w.Tenants {
		for _, n := range t.Nodes {
			ends.Go(n.Close)
		}
		for _, target := range t.Targets {
			ends.Go(target.end)
		}
	}
	ends.Wait()
	for _, t := range w.Tenants {
		t.network.close()
	}
	if err := w.Platform.Stop(); err != nil {
		w.log.WithError(err).Warn("demo: cannot stop the platform")
	}
}

func (w *World) countTargets() int {
	count := 0
	for _, t := range w.Tenants {
		count += len(t.Targets)
	}
	return count
}

func (w *World) countNodes() int {
	count := 0
	for _, t := range w.Tenants {
		count += len(t.Nodes)
	}
	return count
}
