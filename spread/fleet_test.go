package spread

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/membership"
	"github.com/yuccaroute/yuccaroute/spread/item"
	"github.com/yuccaroute/yuccaroute/spread/topology"
)

// inForce is the time within which an accepted change must be in force on
// every node that can be reached.
const inForce = 8 * time.Second

// memStore stands for the store; its revisions only grow unless it is
// restored.
type memStore struct {
	mu       sync.Mutex
	out      bool
	items    map[string]item.Item
	changed  chan struct{}
	watching int
	// runs counts how often a node began to read.
	runs int
}

func newMemStore() *memStore {
	return &memStore{items: map[string]item.Item{}, changed: make(chan struct{})}
}

func (s *memStore) put(items ...item.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, it := range items {
		s.items[it.Key] = it
	}
	s.wake()
}

func (s *memStore) setOut(out bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.out = out
	s.wake()
}

func (s *memStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Run implements Source.
func (s *memStore) Run(ctx context.Context, emit func(string, uint64, uint64, []byte)) error {
	s.mu.Lock()
	s.watching++
	s.runs++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.watching--
		s.mu.Unlock()
	}()
	for {
		s.mu.Lock()
		out, changed := s.out, s.changed
		items := make([]item.Item, 0, len(s.items))
		for _, it := range s.items {
			items = append(items, it)
		}
		contentLast(items)
		s.mu.Unlock()
		if out {
			return errors.New("store is out")
		}
		for _, it := range items {
			emit(it.Key, it.Epoch, it.Sequence, it.Body)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// testNode is one node of a testFleet.
type testNode struct {
	*Service
	// vms is nil unless the fleet has a list service.
	vms    *nodeList
	member topology.Member
	stop   context.CancelFunc
	done   chan struct{}
}

// testFleet runs nodes in one synctest bubble.
type testFleet struct {
	t     *testing.T
	net   *network
	store *memStore
	mu    sync.Mutex
	list  membership.List
	nodes map[string]*testNode
	lives uint64
	// lists is the platform's VM list; nil gives every node the fleet's list.
	lists *listService
}

func newTestFleet(t *testing.T, regions, places, perPlace int) *testFleet {
	f := newStoppedFleet(t, regions, places, perPlace)
	for _, m := range topology.FromList(f.list) {
		f.start(m)
	}
	return f
}

// newStoppedFleet has VMs on which nothing runs yet.
func newStoppedFleet(t *testing.T, regions, places, perPlace int) *testFleet {
	f := &testFleet{t: t, net: newNetwork(), store: newMemStore(), nodes: map[string]*testNode{}}
	for r := range regions {
		for p := range places {
			for range perPlace {
				f.addVM(fmt.Sprintf("r%d", r), fmt.Sprintf("r%d-p%d", r, p))
			}
		}
	}
	return f
}

func (f *testFleet) addVM(region, place string) topology.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.list.VMs) + 1
	vm := membership.VM{
		ID:     fmt.Sprintf("%s-vm%d", place, n),
		Role:   membership.RoleEntry,
		Region: model.RegionName(region),
		Place:  model.PlaceName(place),
		Peer:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(n >> 8), byte(n)}), 1),
	}
	vm.Address = vm.Peer
	f.list.VMs = append(append([]membership.VM{}, f.list.VMs...), vm)
	f.list.Sequence++
	members := topology.FromList(f.list)
	return members[len(members)-1]
}

func (f *testFleet) members() membership.List {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.list
}

// start begins a new life of a VM, with nothing in its memory.
func (f *testFleet) start(m topology.Member) *testNode {
	f.lives++
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	members := f.members
	var vms *nodeList
	if f.lists != nil {
		vms = newNodeList()
		members = vms.members
	}
	s, err := New(Options{
		Ref:     &peerpb.NodeRef{Vm: m.VM, Incarnation: f.lives, PeerAddress: m.Address, Place: m.FailureDomain, Region: m.Region},
		Members: members,
		Dial: func(address string) (grpc.ClientConnInterface, error) {
			return link{net: f.net, from: m.Address, to: address}, nil
		},
		ContentNames: testNames,
		Source:       f.store,
		Seed:         f.lives,
		Logger:       logger,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(f.t.Context())
	s.Register(endpoint{net: f.net, address: m.Address})
	f.net.mu.Lock()
	f.net.lives[m.Address] = ctx
	f.net.mu.Unlock()
	n := &testNode{Service: s, vms: vms, member: m, stop: stop, done: make(chan struct{})}
	f.nodes[m.VM] = n
	if vms != nil {
		vms.connect(s, f.lists.reader(m.VM), f.lives, logger)
		go vms.feed.Run(ctx)
	}
	go func() {
		s.Run(ctx)
		close(n.done)
	}()
	return n
}

// kill ends a node; the list goes on naming it.
func (f *testFleet) kill(n *testNode) {
	n.stop()
	<-n.done
	delete(f.nodes, n.member.VM)
}

// stop ends all nodes.
func (f *testFleet) stop() {
	for _, n := range f.nodes {
		n.stop()
	}
	for _, n := range f.nodes {
		<-n.done
	}
	synctest.Wait()
}

// after lets the time pass and all that is due happen.
func (f *testFleet) after(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// lacking returns the nodes that don't have the item in force.
func (f *testFleet) lacking(want item.Item) []string {
	var out []string
	for vm, n := range f.nodes {
		if got, _ := n.Snapshot().Get(want.Key); got.Sum != want.Sum {
			out = append(out, fmt.Sprintf("%s (%s) has %d.%d", vm, n.plan.Load().Role, got.Epoch, got.Sequence))
		}
	}
	return out
}

// mustHave fails if a node lacks the item.
func (f *testFleet) mustHave(want item.Item) {
	f.t.Helper()
	if lacking := f.lacking(want); len(lacking) > 0 {
		f.t.Fatalf("%s %d.%d is missing on %v", want.Key, want.Epoch, want.Sequence, lacking)
	}
}

// byRole returns a node with the role that serves others, if there is one.
func (f *testFleet) byRole(role topology.Role) *testNode {
	var found *testNode
	for _, m := range topology.FromList(f.list) {
		n, ok := f.nodes[m.VM]
		if !ok || n.plan.Load().Role != role {
			continue
		}
		if found == nil || len(n.server.list()) > len(found.server.list()) {
			found = n
		}
	}
	return found
}

// account returns a state of one account.
func account(sequence uint64) item.Item {
	return item.New("account/daehan", 1, sequence, fmt.Appendf(nil, "state %d", sequence))
}

// begun returns how often a node began to read since the last call.
func (s *memStore) begun() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.runs
	s.runs = 0
	return n
}

// watchers returns how many nodes watch the store now.
func (s *memStore) watchers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watching
}
