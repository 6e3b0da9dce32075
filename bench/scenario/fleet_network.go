package scenario

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/membership"
	"github.com/yuccaroute/yuccaroute/node"
	"github.com/yuccaroute/yuccaroute/store/faultkv"
)

// errCut is what a connection into or out of a region that is cut off meets.
var errCut = errors.New("fleet: the region is cut off")

// regionNetwork opens the connections between nodes and can cut one region off
// from the others, the store and the VM list. Connections within a region stay.
type regionNetwork struct {
	world *fleetWorld
	// cutRegion is the one region that may be cut off, and store its way to
	// the platform's store.
	cutRegion model.RegionName
	store     *faultkv.Store
	// bytes counts what crossed, both ways.
	bytes atomic.Int64

	mu    sync.Mutex
	cut   bool
	conns map[*crossing]struct{}
}

func newRegionNetwork(w *fleetWorld, region model.RegionName) *regionNetwork {
	return &regionNetwork{
		world: w, cutRegion: region, store: faultkv.New(w.watches, nil),
		conns: make(map[*crossing]struct{}),
	}
}

// crossing is a connection between the region and another one.
type crossing struct {
	net.Conn
	network *regionNetwork
}

// Read implements net.Conn.
func (c *crossing) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.network.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *crossing) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.network.bytes.Add(int64(n))
	return n, err
}

// Close implements net.Conn.
func (c *crossing) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

// use makes a node of a region reach others and the platform this way.
func (n *regionNetwork) use(options *node.Options, region model.RegionName) {
	options.Dial = n.dialer(region)
	if region == n.cutRegion {
		options.Store, options.Lister = n.store, n
	}
}

// dialer returns how a node of a region connects.
func (n *regionNetwork) dialer(from model.RegionName) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		crosses := (from == n.cutRegion) != (n.regionOf(address) == n.cutRegion)
		if crosses && n.isCut() {
			return nil, errCut
		}
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", address)
		if err != nil || !crosses {
			return conn, err
		}
		return n.keep(conn)
	}
}

// regionOf returns the region of the node that listens at a peer address.
func (n *regionNetwork) regionOf(address string) model.RegionName {
	for _, vm := range n.world.list.Load().VMs {
		if vm.Peer.String() == address {
			return vm.Region
		}
	}
	return ""
}

// size is how many nodes stand in the region.
func (n *regionNetwork) size() int {
	count := 0
	for _, vm := range n.world.list.Load().VMs {
		if vm.Region == n.cutRegion {
			count++
		}
	}
	return count
}

func (n *regionNetwork) isCut() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut
}

// keep remembers a connection, so that a cut closes it. One that was opened
// while the cut began is closed here.
func (n *regionNetwork) keep(conn net.Conn) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut {
		_ = conn.Close()
		return nil, errCut
	}
	c := &crossing{Conn: conn, network: n}
	n.conns[c] = struct{}{}
	return c, nil
}

// setCut begins or ends the cut and returns how many connections it closed.
func (n *regionNetwork) setCut(cut bool) int {
	n.store.SetOutage(cut)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
	if !cut {
		return 0
	}
	closed := len(n.conns)
	for c := range n.conns {
		_ = c.Conn.Close()
	}
	n.conns = make(map[*crossing]struct{})
	return closed
}

// List implements membership.Lister for the nodes of the region.
func (n *regionNetwork) List(ctx context.Context) (membership.List, error) {
	if n.isCut() {
		return membership.List{}, errCut
	}
	return n.world.List(ctx)
}
