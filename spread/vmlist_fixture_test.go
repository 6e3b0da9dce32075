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

// leavingKnown is how soon every node must know that a target leaves.
const leavingKnown = 6 * time.Second

// listService stands for the platform's VM list and counts its readings.
type listService struct {
	mu    sync.Mutex
	list  membership.List
	out   bool
	reads int
	// given is what some VMs are given instead, nil for no answer.
	given map[string]*membership.List
}

// listReader is the service as one VM sees it.
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
	given, special := s.given[r.vm]
	if s.out || special && given == nil {
		return membership.List{}, store.ErrUnavailable
	}
	if special {
		return *given, nil
	}
	return s.list, nil
}

// set replaces the row of a VM, or adds one.
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

// counted returns the readings since the last call.
func (s *listService) counted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	reads := s.reads
	s.reads = 0
	return reads
}

// nodeList is the VM list of one node, connected as package node does it.
type nodeList struct {
	*Service
	view *view.View
	feed *feed.Feed
	// wentBack counts lists that were older than the one before.
	wentBack atomic.Int64
	seeds    atomic.Pointer[membership.VM]
}

var _ feed.Replicator = (*nodeList)(nil)

func newNodeList() *nodeList {
	l := &nodeList{view: view.New(view.Options{})}
	var last membership.List
	l.view.Subscribe(func(s *view.Snapshot, _ view.Change) {
		if last.Later(s.List) {
			l.wentBack.Add(1)
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

// withLists runs a test on a fleet that has its VM list from a list service,
// with 48 targets, before and after it has formed its tree.
func withLists(t *testing.T, regions, places, perPlace int, started func(f *testFleet), test func(f *testFleet)) {
	t.Helper()
	withTargets(t, regions, places, perPlace, 48, started, test)
}

func withTargets(t *testing.T, regions, places, perPlace, targets int, started func(f *testFleet), test func(f *testFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newStoppedFleet(t, regions, places, perPlace)
		defer f.stop()
		f.store.put(account(1))
		f.lists = &listService{list: membership.List{VMs: membership.Normalize(f.list.VMs), Sequence: 1}, given: map[string]*membership.List{}}
		for i := range targets {
			f.lists.set(target(i, membership.StateLive))
		}
		for _, m := range topology.FromList(f.list) {
			f.start(m)
		}
		started(f)
		f.after(settle)
		f.lists.counted()
		f.mustList(f.lists.list)
		test(f)
		for vm, n := range f.nodes {
			if n.vms.wentBack.Load() > 0 {
				f.t.Errorf("%s went from a list to an older one", vm)
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

// leave makes a target leave and returns the list from then on.
func (f *testFleet) leave(i int) membership.List {
	f.lists.set(target(i, membership.StateLeaving))
	return f.lists.list
}

// mustList fails if a node has another list in force.
func (f *testFleet) mustList(want membership.List) {
	f.t.Helper()
	for vm, n := range f.nodes {
		got := n.vms.view.Current()
		if got == nil || !slices.Equal(got.List.VMs, want.VMs) || got.List.Sequence != want.Sequence {
			f.t.Fatalf("%s (%s) lacks list %d", vm, n.plan.Load().Role, want.Sequence)
		}
	}
}
