package scenario

import (
	"context"
	"io"
	"net/netip"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/config/changelog"
	"github.com/yuccaroute/yuccaroute/config/settings"
	"github.com/yuccaroute/yuccaroute/httpserver"
	"github.com/yuccaroute/yuccaroute/membership"
	"github.com/yuccaroute/yuccaroute/node"
	"github.com/yuccaroute/yuccaroute/store"
	"github.com/yuccaroute/yuccaroute/store/faultkv"
	"github.com/yuccaroute/yuccaroute/store/memkv"
)

// fleetWorld is whole nodes around an in-memory platform.
type fleetWorld struct {
	store   *faultkv.Store
	watches *watchGauge
	list    atomic.Pointer[membership.List]
	// listReads counts the readings of the VM list.
	listReads atomic.Int64
	accounts  []model.AccountName
	log       *changelog.Log
	// changeNumber makes the identifiers of changes differ.
	changeNumber int
	nodes        []*node.Node
	// network connects the nodes where a region can be cut off; nil takes TCP.
	network *regionNetwork
}

// List implements membership.Lister.
func (w *fleetWorld) List(context.Context) (membership.List, error) {
	w.listReads.Add(1)
	return *w.list.Load(), nil
}

// newFleetWorld returns a platform without configuration and nodes.
func newFleetWorld() *fleetWorld {
	httpserver.QuietLibraryLogs()
	w := &fleetWorld{store: faultkv.New(memkv.New(memkv.Options{}), nil)}
	w.watches = &watchGauge{KV: w.store}
	w.list.Store(&membership.List{})
	return w
}

// start starts the nodes and waits until they serve all accounts.
func (w *fleetWorld) start(ctx context.Context, nodes int) error {
	list := membership.List{Sequence: 1}
	for _, vm := range fleet(nodes).VMs {
		n, err := w.newNode(vm)
		if err != nil {
			return errors.Wrapf(err, "fleet: node %s", vm.ID)
		}
		w.nodes = append(w.nodes, n)
		list.VMs = append(list.VMs, n.VM())
	}
	w.list.Store(&list)
	for _, n := range w.nodes {
		n.Start()
	}
	return w.waitReady(ctx)
}

func (w *fleetWorld) newNode(vm membership.VM) (*node.Node, error) {
	port := netip.MustParseAddrPort("127.0.0.1:0")
	s := settings.Defaults(
		settings.Node{VM: vm.ID, Region: vm.Region, FailureDomain: vm.Place},
		settings.Listen{Callers: port, Admin: port, Peers: port},
		port, port,
	)
	log := logrus.New()
	log.SetOutput(io.Discard)
	options := node.Options{Settings: s, Logger: log, Store: w.watches, Lister: w}
	if w.network != nil {
		w.network.use(&options, vm.Region)
	}
	return node.New(options)
}

func (w *fleetWorld) close() {
	done := make(chan struct{}, len(w.nodes))
	for _, n := range w.nodes {
		go func() {
			n.Close()
			done <- struct{}{}
		}()
	}
	for range w.nodes {
		<-done
	}
}

// watchGauge counts the watches that wait at the store.
type watchGauge struct {
	store.KV
	waiting atomic.Int64
}

// Watch implements store.KV.
func (g *watchGauge) Watch(ctx context.Context, prefix string, after store.Revision) (store.Batch, error) {
	g.waiting.Add(1)
	defer g.waiting.Add(-1)
	return g.KV.Watch(ctx, prefix, after)
}
