package spread

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/membership"
	"github.com/yuccaroute/yuccaroute/membership/feed"
	"github.com/yuccaroute/yuccaroute/membership/parts"
	"github.com/yuccaroute/yuccaroute/membership/view"
	"github.com/yuccaroute/yuccaroute/spread/item"
	"github.com/yuccaroute/yuccaroute/spread/topology"
	"github.com/yuccaroute/yuccaroute/store"
)

// leavingDeadline is the time within which every node must know that a target
// leaves.
const leavingDeadline = 6 * time.Second

// listService simulates the platform's VM list and counts its reads.
type listService struct {
	mu    sync.Mutex
	list  membership.List
	out   bool
	reads int
	// overrides holds the lists returned to some VMs instead; nil means an
	// error.
	overrides map[string]*membership.List
}

// listReader is the service as seen by one VM.
type listReader struct {
	service *listService
	vm      string
}

func (s *listService) reader(vm string) listReader { return listReader{s, vm} }

// List implements membership.Lister.
func (r listReader) List(context.Context) (membership.List, error) {
	s := r.service
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	overrides, special := s.overrides[r.vm]
	if s.out || special && overrides == nil {
		return membership.List{}, store.ErrUnavailable
	}
	if special {
		return *overrides, nil
	}
	return s.list, nil
}

// set replaces or adds the row of a VM.
func (s *listService) set(vm membership.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	vms := slices.DeleteFunc(slices.Clone(s.list.VMs), func(old membership.VM) bool { return old.ID == vm.ID })
	s.list = membership.List{VMs: membership.Normalize(append(vms, vm)), Sequence: s.list.Sequence + 1}
}

func (s *listService) change(edit func(*listService)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	edit(s)
}

// takeCounts returns the number of reads since the last call.
func (s *listService) takeCounts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	reads := s.reads
	s.reads = 0
	return reads
}

// nodeList is the VM list of one node, connected as in package node.
type nodeList struct {
	*Service
	view *view.View
	feed *feed.Feed
	// regressions counts lists that were older than the previous one.
	regressions atomic.Int64
	seeds       atomic.Pointer[membership.VM]
}

var _ feed.Replicator = (*nodeList)(nil)

func newNodeList() *nodeList {
	l := &nodeList{view: view.New(view.Options{})}
	var last membership.List
	l.view.Subscribe(func(s *view.Snapshot, _ view.Change) {
		if last.Later(s.List) {
			l.regressions.Add(1)
		}
		last = s.List
	})
	return l
}

func (l *nodeList) connect(s *Service, lister membership.Lister, seed uint64, log logrus.FieldLogger) {
	l.Service = s
	l.feed = feed.New(lister, l, l.view, feed.Options{
		Seeds:  l.findSeeds,
		Seed:   seed,
		Logger: log,
	})
	s.OnItem(parts.Prefix, func(it item.Item) { l.feed.Apply(it.Key, it.Epoch, it.Sequence, it.Body) })
}

func (l *nodeList) findSeeds(context.Context) []membership.VM {
	if seed := l.seeds.Load(); seed != nil {
		return []membership.VM{*seed}
	}
	return nil
}

func (l *nodeList) members() membership.List {
	if l.feed == nil {
		return membership.List{}
	}
	return l.feed.Members()
}

func (l *nodeList) Part(key string) (epoch, sequence uint64, body []byte) {
	it, _ := l.Get(key)
	return it.Epoch, it.Sequence, it.Body
}

func (l *nodeList) Reading() (feed.Reading, bool) {
	read, ok := l.ListRead()
	return feed.Reading(read), ok
}

func (l *nodeList) RecordReading(epoch, sequence uint64, at time.Time) {
	l.RecordListRead(epoch, sequence, at)
}

func (l *nodeList) age() time.Duration { return l.view.Current().Age(time.Now()) }

// withLists runs a test on a fleet that reads its VM list, with 48 targets,
// from a list service. started runs before the fleet has formed its tree, test
// after.
func withLists(t *testing.T, regions, domains, perDomain int, started func(f *testFleet), test func(f *testFleet)) {
	t.Helper()
	withTargets(t, regions, domains, perDomain, 48, started, test)
}

func withTargets(t *testing.T, regions, domains, perDomain, targets int, started func(f *testFleet), test func(f *testFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newStoppedFleet(t, regions, domains, perDomain)
		defer f.stop()
		f.store.put(account(1))
		f.lists = &listService{list: membership.List{VMs: membership.Normalize(f.list.VMs), Sequence: 1}, overrides: map[string]*membership.List{}}
		for i := range targets {
			f.lists.set(target(i, membership.StateLive))
		}
		for _, m := range topology.FromList(f.list) {
			f.start(m)
		}
		started(f)
		f.advance(settleTime)
		f.lists.takeCounts()
		f.mustHaveList(f.lists.list)
		test(f)
		for vm, n := range f.nodes {
			if n.vms.regressions.Load() > 0 {
				f.t.Errorf("%s replaced a list by an older one", vm)
			}
		}
	})
}

func inListFleet(t *testing.T, test func(f *testFleet)) {
	t.Helper()
	withLists(t, 3, 2, 8, func(*testFleet) {}, test)
}

func target(i int, state membership.State) membership.VM {
	return membership.VM{
		ID: fmt.Sprintf("target-%03d", i), Role: membership.RoleTarget, State: state,
		Region: "kr-seoul", Place: "kr-seoul-1", Account: "daehan", Service: "dealer-desk",
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, 0, byte(i)}), 80+uint16(i>>8)),
	}
}

// markLeaving marks a target as leaving and returns the resulting list.
func (f *testFleet) markLeaving(i int) membership.List {
	f.lists.set(target(i, membership.StateLeaving))
	return f.lists.list
}

// mustHaveList fails if a node uses a different list.
func (f *testFleet) mustHaveList(want membership.List) {
	f.t.Helper()
	for vm, n := range f.nodes {
		got := n.vms.view.Current()
		if got == nil || !slices.Equal(got.List.VMs, want.VMs) || got.List.Sequence != want.Sequence {
			f.t.Fatalf("%s (%s) lacks list %d", vm, n.plan.Load().Role, want.Sequence)
		}
	}
}
