package measure

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/membership"
	"github.com/yuccaroute/yuccaroute/spread/item"
)

// fleet is the nodes of one run and the watch on what reaches them.
type fleet struct {
	config  Config
	source  *source
	nodes   []*node
	list    membership.List
	regions map[string]string

	mu sync.Mutex
	// waiting is the change that is under way.
	waiting state
	lacking map[*node]struct{}
	arrived chan struct{}
}

func newFleet(config Config) (*fleet, error) {
	f := &fleet{
		config:  config,
		source:  newSource(config.Items, config.BodyBytes),
		regions: map[string]string{},
	}
	listeners, err := f.listen()
	if err != nil {
		return nil, err
	}
	for i, listener := range listeners {
		members := func() membership.List { return f.list }
		regionOf := func(address string) string { return f.regions[address] }
		n, err := newNode(f.list.VMs[i], listener, members, regionOf, f.source, config.Seed+uint64(i)+1)
		if err != nil {
			return nil, err
		}
		f.nodes = append(f.nodes, n)
	}
	return f, nil
}

// listen opens one port a node and lists the VMs, dealt out to the places.
func (f *fleet) listen() ([]net.Listener, error) {
	var listeners []net.Listener
	for i := range f.config.Nodes {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "measure: listen")
		}
		listeners = append(listeners, listener)
		place := i % (f.config.Regions * f.config.PlacesPerRegion)
		region := fmt.Sprintf("r%d", place%f.config.Regions)
		vm := membership.VM{
			ID:     fmt.Sprintf("vm%04d", i),
			Role:   membership.RoleEntry,
			Region: model.RegionName(region),
			Place:  model.PlaceName(fmt.Sprintf("%s-p%d", region, place/f.config.Regions)),
			Peer:   netip.MustParseAddrPort(listener.Addr().String()),
		}
		f.list.VMs = append(f.list.VMs, vm)
		f.regions[vm.Peer.String()] = region
	}
	f.list.Sequence = 1
	return listeners, nil
}

// start runs all nodes and waits until each is ready and has every item.
func (f *fleet) start(ctx context.Context) error {
	for _, n := range f.nodes {
		n.start(f.onItem)
	}
	for _, n := range f.nodes {
		if err := n.service.WaitReady(ctx); err != nil {
			return errors.Wrap(err, "measure: node does not get ready")
		}
		for n.service.Snapshot().Len() < f.config.Items {
			select {
			case <-ctx.Done():
				return errors.Wrap(ctx.Err(), "measure: node lacks items")
			case <-time.After(formPoll):
			}
		}
	}
	return nil
}

// formPoll is the time between looks while the fleet forms.
const formPoll = 10 * time.Millisecond

func (f *fleet) stop() {
	for _, n := range f.nodes {
		if !n.dead {
			n.kill()
		}
	}
}

// onItem notes that a state reached a node.
func (f *fleet) onItem(n *node, it item.Item) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if it.Key != f.waiting.key || it.Sequence < f.waiting.sequence {
		return
	}
	f.reached(n)
}

// reached takes a node off the list of those that lack the change; the lock is
// held.
func (f *fleet) reached(n *node) {
	if _, ok := f.lacking[n]; !ok {
		return
	}
	delete(f.lacking, n)
	if len(f.lacking) == 0 {
		close(f.arrived)
	}
}

// change makes one change and returns the time until the last node that counts
// had it.
func (f *fleet) change(ctx context.Context, counts func(*node) bool) (time.Duration, bool) {
	arrived := make(chan struct{})
	f.mu.Lock()
	f.arrived = arrived
	f.lacking = map[*node]struct{}{}
	for _, n := range f.nodes {
		if counts(n) {
			f.lacking[n] = struct{}{}
		}
	}
	start := time.Now()
	f.waiting = f.source.change()
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, longestWait)
	defer cancel()
	select {
	case <-arrived:
		return time.Since(start), true
	case <-ctx.Done():
		return longestWait, false
	}
}

// longestWait is after how long a change counts as lost.
const longestWait = 30 * time.Second
