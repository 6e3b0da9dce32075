package demo

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// domainDelay is the one-way delay between failure domains of a region.
const domainDelay = 500 * time.Microsecond

// callerDelay is the one-way delay between callers and entry VMs.
const callerDelay = 3 * time.Millisecond

// server is where a service of the demonstration really listens.
type server struct {
	address string
	place   model.Place
}

// pathKey names the network from one place to one server.
type pathKey struct {
	from   model.PlaceName
	server string
}

// path is a relay that delays what passes, with the regions at its ends.
type path struct {
	relay    *toxiproxy.Proxy
	from, to model.RegionName
}

// network delays what nodes send to targets, to each other and to the platform
// by the account's one-way delays, and can cut a region off. The relays are of
// a fault-injecting proxy's library.
type network struct {
	account *model.Account

	mu      sync.Mutex
	servers map[string]server
	paths   map[pathKey]*path
	// platform holds one relay to the platform for each node.
	platform []*path
	cut      model.RegionName
}

func newNetwork(account *model.Account) *network {
	return &network{
		account: account,
		servers: make(map[string]server),
		paths:   make(map[pathKey]*path),
	}
}

// add makes a server known. Servers that are not known are reached directly.
func (n *network) add(address string, place model.Place) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.servers[address] = server{address: address, place: place}
}

// dialer returns how a node of a place connects.
func (n *network) dialer(from model.Place) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		through, err := n.route(from, address)
		if err != nil {
			return nil, err
		}
		var d net.Dialer
		return d.DialContext(ctx, "tcp", through)
	}
}

var errCut = errors.New("demo: the region is cut off")

// route returns the address to connect to for an address.
func (n *network) route(from model.Place, address string) (string, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	to, known := n.servers[address]
	if !known || to.place.Name == from.Name {
		return address, nil
	}
	if n.crossesCut(from.Region, to.place.Region) {
		return "", errCut
	}
	key := pathKey{from: from.Name, server: address}
	if p := n.paths[key]; p != nil {
		return p.relay.Listen, nil
	}
	p, err := n.newPath(from, to)
	if err != nil {
		return "", err
	}
	n.paths[key] = p
	return p.relay.Listen, nil
}

func (n *network) crossesCut(from, to model.RegionName) bool {
	return from != to && n.cut != "" && (from == n.cut || to == n.cut)
}

func (n *network) newPath(from model.Place, to server) (*path, error) {
	relay, err := startRelay(string(from.Name)+" to "+to.address, to.address)
	if err != nil {
		return nil, err
	}
	oneWay := n.oneWay(from.Region, to.place.Region)
	for _, stream := range []string{streamUp, streamDown} {
		if err := addLatency(relay, stream, oneWay); err != nil {
			relay.Stop()
			return nil, err
		}
	}
	return &path{relay: relay, from: from.Region, to: to.place.Region}, nil
}

// oneWay returns the delay between two places of different failure domains.
func (n *network) oneWay(from, to model.RegionName) time.Duration {
	if from == to {
		return domainDelay
	}
	region := n.account.Region(from)
	if region == nil {
		return 0
	}
	for _, d := range region.Delays {
		if d.To == to {
			return d.OneWay
		}
	}
	return 0
}

// cutOff breaks all connections that enter or leave a region, and refuses new
// ones until restore.
func (n *network) cutOff(region model.RegionName) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = region
	for key, p := range n.paths {
		if n.crossesCut(p.from, p.to) {
			p.relay.Stop()
			delete(n.paths, key)
		}
	}
	for _, p := range n.platform {
		if p.from == region {
			p.relay.Stop()
		}
	}
}

// lose closes the relays to a server that has ended: connecting to one must
// fail as connecting to the server does.
func (n *network) lose(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.servers, address)
	for key, p := range n.paths {
		if key.server == address {
			p.relay.Stop()
			delete(n.paths, key)
		}
	}
}

// restore ends the cut.
func (n *network) restore() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.platform {
		if p.from != n.cut {
			continue
		}
		if err := p.relay.Start(); err != nil {
			return errors.Wrap(err, "demo: restart a relay")
		}
	}
	n.cut = ""
	return nil
}

// platformFor returns an address at which a node reaches the platform until
// its region is cut off. The platform stands in no region, at no delay.
func (n *network) platformFor(node, address string, region model.RegionName) (string, error) {
	relay, err := startRelay(node+" to the platform", address)
	if err != nil {
		return "", err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.platform = append(n.platform, &path{relay: relay, from: region})
	return relay.Listen, nil
}

func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.paths {
		p.relay.Stop()
	}
	for _, p := range n.platform {
		p.relay.Stop()
	}
}
