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

// convergeTimeout is the time within which a change must be active on every
// reachable node.
const convergeTimeout = 8 * time.Second

// memStore simulates the store; its revisions increase unless a test restores
// it.
type memStore struct {
	mu          sync.Mutex
	unavailable bool
	items       map[string]item.Item
	changed     chan struct{}
	watching    int
	// runs counts the started reads.
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

func (s *memStore) setUnavailable(out bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = out
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
		out, changed := s.unavailable, s.changed
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
	// lists simulates the platform's VM list; if nil, every node gets the
	// fleet's list.
	lists *listService
}

func newTestFleet(t *testing.T, regions, domains, perDomain int) *testFleet {
	f := newStoppedFleet(t, regions, domains, perDomain)
	for _, m := range topology.FromList(f.list) {
		f.start(m)
	}
	return f
}

// newStoppedFleet returns a fleet without running nodes.
func newStoppedFleet(t *testing.T, regions, domains, perDomain int) *testFleet {
	f := &testFleet{t: t, net: newNetwork(), store: newMemStore(), nodes: map[string]*testNode{}}
	for r := range regions {
		for p := range domains {
			for range perDomain {
				f.addVM(fmt.Sprintf("r%d", r), fmt.Sprintf("r%d-p%d", r, p))
			}
		}
	}
	return f
}

func (f *testFleet) addVM(region, domain string) topology.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.list.VMs) + 1
	vm := membership.VM{
		ID:     fmt.Sprintf("%s-vm%d", domain, n),
		Role:   membership.RoleEntry,
		Region: model.RegionName(region),
		Place:  model.PlaceName(domain),
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

// start runs a new incarnation of a VM with empty memory.
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

// kill stops a node, which stays in the VM list.
func (f *testFleet) kill(n *testNode) {
	n.stop()
	<-n.done
	delete(f.nodes, n.member.VM)
}

// stop stops all nodes.
func (f *testFleet) stop() {
	for _, n := range f.nodes {
		n.stop()
	}
	for _, n := range f.nodes {
		<-n.done
	}
	synctest.Wait()
}

// advance advances the fake clock and waits until all goroutines are idle.
func (f *testFleet) advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// nodesLacking describes the nodes that do not have the item.
func (f *testFleet) nodesLacking(want item.Item) []string {
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
	if lacking := f.nodesLacking(want); len(lacking) > 0 {
		f.t.Fatalf("%s %d.%d is missing on %v", want.Key, want.Epoch, want.Sequence, lacking)
	}
}

// byRole returns the node of the role with the most subscribers, if there is
// one.
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

// account returns a state of the test account.
func account(sequence uint64) item.Item {
	return item.New("account/daehan", 1, sequence, fmt.Appendf(nil, "state %d", sequence))
}

// takeRuns returns the number of reads started since the last call.
func (s *memStore) takeRuns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.runs
	s.runs = 0
	return n
}

// watchers returns the number of nodes that watch the store.
func (s *memStore) watchers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watching
}
