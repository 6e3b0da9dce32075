// Package node wires the parts of yuccaroute into one daemon: look-up and
// proxy for callers, a share of the control work, spreading between nodes, and
// the administration API. All nodes are equal and keep nothing.
package node

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"github.com/yuccaroute/yuccaroute/admin/tlsfiles"
	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/config/changelog"
	"github.com/yuccaroute/yuccaroute/config/source"
	"github.com/yuccaroute/yuccaroute/control"
	"github.com/yuccaroute/yuccaroute/httpserver"
	"github.com/yuccaroute/yuccaroute/httpserver/scrape"
	"github.com/yuccaroute/yuccaroute/lookup"
	"github.com/yuccaroute/yuccaroute/membership"
	"github.com/yuccaroute/yuccaroute/membership/feed"
	"github.com/yuccaroute/yuccaroute/membership/view"
	"github.com/yuccaroute/yuccaroute/node/merge"
	"github.com/yuccaroute/yuccaroute/proxy"
	"github.com/yuccaroute/yuccaroute/proxy/ingress"
	"github.com/yuccaroute/yuccaroute/proxy/keys"
	"github.com/yuccaroute/yuccaroute/spread"
	"github.com/yuccaroute/yuccaroute/spread/transport"
	"github.com/yuccaroute/yuccaroute/steering/planner"
	"github.com/yuccaroute/yuccaroute/store"
)

// Node is one process of the system.
type Node struct {
	options  Options
	id       grant.NodeID
	ref      *peerpb.NodeRef
	log      *logrus.Logger
	store    store.KV
	lister   membership.Lister
	view     *view.View
	feed     *feed.Feed
	accounts *accountSet
	// putting is held while an account is put in force or taken out of it.
	putting sync.Mutex
	merger  *merge.Merger
	changes *changelog.Log
	lookup  *lookup.Lookup
	proxy   *proxy.Proxy
	spread  *spread.Service
	control *control.System
	planner *planner.Planner
	peers   *transport.Pool
	metrics *scrape.Metrics
	// keys is nil when the node speaks without TLS.
	keys *tlsfiles.Keeper

	callers *ingress.Server
	admin   *httpserver.Server
	grpc    *grpc.Server
	peerTCP net.Listener

	// leaving tells that a planned stop has begun, refusing that it takes no
	// requests any more.
	leaving, refusing atomic.Bool
	// settled tells that what was known when the node started is in force.
	settled atomic.Bool
	closed  atomic.Bool
	running sync.WaitGroup
	cancel  context.CancelFunc
	closers []func()
}

// New makes a node and binds its listeners, so that its addresses are known.
// Nothing is served before Start.
func New(options Options) (*Node, error) {
	options, err := options.withDefaults()
	if err != nil {
		return nil, err
	}
	n := &Node{
		options:  options,
		id:       options.id(),
		log:      options.Logger,
		accounts: newAccountSet(),
		planner:  planner.New(),
		metrics:  scrape.New(options.Settings.Node.VM, metricsInterval),
	}
	steps := []func() error{
		n.openKeys,
		n.listenPeers,
		n.openPlatform,
		n.makeRequestPath,
		n.makeSpread,
		n.makeFeed,
		n.makeControl,
		n.listenCallers,
		n.listenAdmin,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			n.close()
			return nil, err
		}
	}
	n.subscribe()
	return n, nil
}

// listenPeers binds the address for other nodes; it becomes part of the
// node's name.
func (n *Node) listenPeers() error {
	s := n.options.Settings
	listener, err := net.Listen("tcp", s.Listen.Peers.String())
	if err != nil {
		return errors.Wrap(err, "node: listen for peers")
	}
	n.peerTCP = listener
	n.ref = &peerpb.NodeRef{
		Vm:          n.id.VM,
		Incarnation: n.id.Incarnation,
		PeerAddress: listener.Addr().String(),
		Place:       string(s.Node.FailureDomain),
		Region:      string(s.Node.Region),
	}
	n.grpc = grpc.NewServer(append(transport.ServerOptions(), grpc.Creds(n.serverCredentials()))...)
	n.peers = transport.NewPool(n.dialOptions()...)
	n.closers = append(n.closers, n.peers.Close)
	return nil
}

// dialOptions are those of connections to other nodes.
func (n *Node) dialOptions() []grpc.DialOption {
	options := []grpc.DialOption{grpc.WithTransportCredentials(n.clientCredentials())}
	if n.options.Dial != nil {
		options = append(options, grpc.WithContextDialer(n.options.Dial))
	}
	return options
}

func (n *Node) makeRequestPath() error {
	s := n.options.Settings
	n.lookup = lookup.New(lookup.Options{
		VM:     n.id.VM,
		Region: s.Node.Region,
		Place:  s.Node.FailureDomain,
		Logger: n.log,
		Scope:  n.metrics.Scope,
	})
	recorder := keys.New(keys.Options{
		Store:           n.store,
		Node:            n.id,
		WritesPerSecond: s.Platform.WritesPerSecond,
		Timeout:         s.Platform.CallTimeout,
	})
	p, err := proxy.New(proxy.Options{
		Node:             n.id,
		Region:           s.Node.Region,
		Place:            s.Node.FailureDomain,
		Logger:           n.log,
		Scope:            n.metrics.Scope,
		CallerRegion:     n.lookup.CallerRegion,
		Keys:             recorder,
		FetchAnswer:      n.askKept,
		KeptAnswerBytes:  s.Limits.KeptAnswerBytes,
		MaxBufferedBytes: s.Limits.BufferedBytes,
		StreamOverBytes:  s.Limits.StreamOverBytes,
		StreamAhead:      streamAhead(s.Limits.StreamAhead),
		MaxInFlight:      int64(s.Limits.QueuedRequests),
		Nodes:            n.liveNodes,
		Clock:            n.options.Clock,
		OnGrantShortage:  func(account model.AccountName) { n.control.SignalShortage(account) },
		Dial:             n.options.Dial,
	})
	if err != nil {
		return err
	}
	n.proxy = p
	n.closers = append(n.closers, p.Close)
	n.view.Subscribe(n.onVMs)
	return nil
}

func (n *Node) makeSpread() error {
	n.changes = changelog.New(n.store, changelog.Options{Seed: n.id.Incarnation})
	service, err := spread.New(spread.Options{
		Ref:           n.ref,
		Members:       n.peerList,
		Dial:          n.peers.Dial,
		ContentNames:  namedContent,
		Source:        source.NewIn(n.accountForm(), n.store, n.changes, n.log),
		ActiveVersion: n.versionInForce,
		Seed:          n.id.Incarnation,
		Logger:        n.log,
	})
	if err != nil {
		return err
	}
	n.spread = service
	n.merger = merge.New(service.Snapshot, n, n.log)
	service.Register(n.grpc)
	return nil
}

func (n *Node) makeControl() error {
	system, err := control.New(control.Options{
		Ref:             n.ref,
		Node:            n.id,
		Store:           n.store,
		Accounts:        n.accounts.all,
		Members:         n.membersWithAge,
		Dial:            n.peers.Dial,
		Reports:         n.proxy.Reports,
		ApplyGrants:     n.proxy.SetGrants,
		Publish:         n.publish,
		DeciderOf:       n.deciderOf,
		Leaving:         n.leaving.Load,
		AdmissionClosed: n.refusing.Load,
		Planner:         n.planner,
		Logger:          n.log,
		Clock:           n.options.Clock,

		RelayMinFleet: n.options.Settings.Limits.RelayFromNodes,
	})
	if err != nil {
		return err
	}
	n.control = system
	system.Register(n.grpc)
	peerpb.RegisterInsightServer(n.grpc, &insightServer{node: n})
	peerpb.RegisterKeptServer(n.grpc, &keptServer{proxy: n.proxy})
	return nil
}

// onVMs puts a reading of the VM list in force.
func (n *Node) onVMs(snapshot *view.Snapshot, _ view.Change) {
	n.lookup.SetVMs(snapshot.List)
	n.proxy.SetTargets(snapshot.List)
	live := make(map[string]bool)
	for i := range snapshot.List.VMs {
		live[snapshot.List.VMs[i].Peer.String()] = true
	}
	n.peers.Retain(func(address string) bool { return live[address] })
}

func (n *Node) members() membership.List {
	list, _, _ := n.membersWithAge()
	return list
}

// peerList returns the VMs from which this node may learn; there are none
// before the feed is made.
func (n *Node) peerList() membership.List {
	if n.feed == nil {
		return membership.List{}
	}
	return n.feed.Members()
}

func (n *Node) membersWithAge() (membership.List, time.Duration, bool) {
	snapshot := n.view.Current()
	if snapshot == nil {
		return membership.List{}, 0, false
	}
	return snapshot.List, snapshot.Age(time.Now()), true
}

// liveNodes counts the entry VMs listed; it divides bounds that hold in sum
// over all nodes. Leaving nodes count, as they still hold connections.
func (n *Node) liveNodes() int {
	list := n.members()
	count := 0
	for i := range list.VMs {
		if list.VMs[i].Role == membership.RoleEntry {
			count++
		}
	}
	return max(count, 1)
}

// VM returns the row under which the platform must list this node.
func (n *Node) VM() membership.VM {
	s := n.options.Settings
	return membership.VM{
		ID:      n.id.VM,
		Role:    membership.RoleEntry,
		State:   membership.StateLive,
		Region:  s.Node.Region,
		Place:   s.Node.FailureDomain,
		Address: mustAddress(n.callers.Address()),
		Peer:    mustAddress(n.ref.PeerAddress),
	}
}

// AdminAddress returns the ip:port of the administration API.
func (n *Node) AdminAddress() string { return n.admin.Address() }

// close frees what New made.
func (n *Node) close() {
	for i := len(n.closers) - 1; i >= 0; i-- {
		n.closers[i]()
	}
	if n.peerTCP != nil {
		_ = n.peerTCP.Close()
	}
	_ = n.metrics.Closer.Close()
}
