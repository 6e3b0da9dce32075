package measure

import (
	"context"
	"io"
	"net"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/membership"
	"github.com/yuccaroute/yuccaroute/spread"
	"github.com/yuccaroute/yuccaroute/spread/item"
	"github.com/yuccaroute/yuccaroute/spread/transport"
)

// node is one node of the fleet.
type node struct {
	vm       membership.VM
	listener net.Listener
	service  *spread.Service
	server   *grpc.Server
	pool     *transport.Pool
	meter    *meter
	gate     *gate
	cancel   context.CancelFunc
	done     chan struct{}
	dead     bool
}

// newNode makes a node on a listener. regionOf tells the region of an address.
func newNode(vm membership.VM, listener net.Listener, members func() membership.List, regionOf func(string) string, src spread.Source, seed uint64) (*node, error) {
	n := &node{vm: vm, listener: listener, meter: &meter{}, gate: &gate{}, done: make(chan struct{})}
	n.pool = transport.NewPool(
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(n.dialer(regionOf)),
	)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	service, err := spread.New(spread.Options{
		Ref: &peerpb.NodeRef{
			Vm:          vm.ID,
			Incarnation: seed,
			PeerAddress: vm.Peer.String(),
			Place:       string(vm.Place),
			Region:      string(vm.Region),
		},
		Members: members,
		Dial:    n.pool.Dial,
		Source:  src,
		Seed:    seed,
		Logger:  logger,
	})
	if err != nil {
		return nil, errors.Wrap(err, "measure: node")
	}
	n.service = service
	n.server = grpc.NewServer(transport.ServerOptions()...)
	service.Register(n.server)
	return n, nil
}

// dialer meters the node's connections.
func (n *node) dialer(regionOf func(string) string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		across := regionOf(address) != string(n.vm.Region)
		return newMeteredConn(conn, n.meter, n.gate, across), nil
	}
}

// start runs the node; arrived is called for each state it takes.
func (n *node) start(arrived func(*node, item.Item)) {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.service.OnItem("", func(it item.Item) { arrived(n, it) })
	go func() { _ = n.server.Serve(&meteredListener{Listener: n.listener, meter: n.meter, gate: n.gate}) }()
	go func() {
		defer close(n.done)
		n.service.Run(ctx)
	}()
}

// kill ends the node as a process that dies: its connections are reset.
func (n *node) kill() {
	n.dead = true
	n.gate.release()
	n.server.Stop()
	n.pool.Close()
	n.cancel()
	<-n.done
}
