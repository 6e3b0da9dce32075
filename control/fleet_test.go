package control

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/observe"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/control/ledger"
	"github.com/yuccaroute/yuccaroute/membership"
	"github.com/yuccaroute/yuccaroute/store/faultkv"
	"github.com/yuccaroute/yuccaroute/store/memkv"
)

// fleet runs the control systems of several nodes over one store, with direct calls
// instead of a network, in a synctest bubble.
type fleet struct {
	t     *testing.T
	store *faultkv.Store
	nodes []*fleetNode

	mu      sync.Mutex
	account *model.Account
	list    membership.List
	decider *peerpb.NodeRef
	epoch   uint64
	calls   int
	bytes   int
	plans   int
	// relayMinFleet is passed to Options.RelayMinFleet.
	relayMinFleet int
	answered      map[string]int
}

// fleetNode is one node of a fleet.
type fleetNode struct {
	fleet  *fleet
	system *System
	server *server
	relay  *relayServer
	ref    *peerpb.NodeRef
	cancel context.CancelFunc
	done   chan struct{}

	mu  sync.Mutex
	set *grant.Set
	// offered is the demand on the node in requests/s; arrived is the number of
	// requests since the last report, up to the time counted.
	offered, arrived float64
	counted          time.Time
	// reportedRPS is the demand in the last answered report.
	reportedRPS float64
	down        bool
	// cut disconnects the node from other nodes but not from the store; paused blocks
	// calls to it.
	cut, paused bool
	// fixedDecider returns the decider that the node knows, nil for the current one.
	fixedDecider func() (*peerpb.NodeRef, uint64, bool)
}

func fleetAccount() *model.Account {
	a := &model.Account{Name: "daehan", Revision: 1, Moves: model.MoveLimits{Share: 0.1, Window: time.Minute}}
	service := model.Service{Name: "dealer-desk"}
	for _, region := range []model.RegionName{"seoul", "busan"} {
		a.Regions = append(a.Regions, model.Region{Name: region, CapacityRPS: 1000, LinkInRPS: 400})
		for _, suffix := range []string{"-a", "-b"} {
			place := model.PlaceName(string(region) + suffix)
			a.Places = append(a.Places, model.Place{Name: place, Region: region})
			service.Capacity = append(service.Capacity, model.PlaceCapacity{Place: place, RPS: 500})
		}
	}
	a.Services = []model.Service{service}
	return a
}

func newFleet(t *testing.T, size int) *fleet { return newRelayFleet(t, size, 0) }

// newRelayFleet returns a fleet with the given minimum size for relays.
func newRelayFleet(t *testing.T, size, from int) *fleet {
	f := &fleet{
		relayMinFleet: from,
		t:             t,
		store:         faultkv.New(memkv.New(memkv.Options{}), nil),
		account:       fleetAccount(),
		answered:      make(map[string]int),
	}
	for i := range size {
		f.add(fmt.Sprintf("vm%d", i), i+1, 1)
	}
	return f
}

// add starts a node on a VM.
func (f *fleet) add(vm string, number int, incarnation uint64) *fleetNode {
	region := f.account.Regions[number%2].Name
	peer := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number)}), 7100)
	f.mu.Lock()
	if incarnation == 1 {
		f.list.VMs = append(f.list.VMs, membership.VM{ID: vm, Role: membership.RoleEntry, Region: region, Peer: peer})
		f.list.Sequence++
	}
	f.mu.Unlock()
	m := &fleetNode{
		fleet:   f,
		ref:     &peerpb.NodeRef{Vm: vm, Incarnation: incarnation, PeerAddress: peer.String(), Region: string(region)},
		done:    make(chan struct{}),
		offered: 80,
		counted: time.Now(),
	}
	system, err := New(m.options())
	if err != nil {
		f.t.Fatal(err)
	}
	m.system = system
	m.server = &server{system: system}
	m.relay = &relayServer{system: system}
	var ctx context.Context
	ctx, m.cancel = context.WithCancel(context.Background())
	go func() {
		defer close(m.done)
		_ = system.Run(ctx)
	}()
	f.mu.Lock()
	f.nodes = append(f.nodes, m)
	f.mu.Unlock()
	return m
}

func (m *fleetNode) options() Options {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return Options{
		Ref:         m.ref,
		Node:        grant.NodeID{VM: m.ref.Vm, Incarnation: m.ref.Incarnation},
		Store:       m.fleet.store,
		Accounts:    func() []*model.Account { return []*model.Account{m.fleet.configured()} },
		Members:     m.fleet.members,
		Dial:        func(address string) (grpc.ClientConnInterface, error) { return &link{m.fleet, m, address}, nil },
		Reports:     m.reports,
		ApplyGrants: m.apply,
		Publish:     m.fleet.publish,
		DeciderOf:   m.deciderOf,
		Logger:      logger,

		RelayMinFleet: m.fleet.relayMinFleet,
	}
}

func (f *fleet) configured() *model.Account {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.account
}

func (f *fleet) members() (membership.List, time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.list, 0, true
}

// unlist removes a VM from the VM list.
func (f *fleet) unlist(vm string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var kept []membership.VM
	for _, v := range f.list.VMs {
		if v.ID != vm {
			kept = append(kept, v)
		}
	}
	f.list = membership.List{VMs: kept, Sequence: f.list.Sequence + 1}
}

func (f *fleet) publish(key string, epoch, _ uint64, body []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if key != deciderKey("daehan") {
		f.plans++
		return
	}
	ref := &peerpb.NodeRef{}
	if err := proto.Unmarshal(body, ref); err != nil {
		f.t.Error(err)
	}
	if epoch > f.epoch {
		f.epoch, f.decider = epoch, ref
	}
}

func (f *fleet) deciderOf(model.AccountName) (*peerpb.NodeRef, uint64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.decider, f.epoch, f.decider != nil
}

func (m *fleetNode) reports(interval time.Duration) []observe.Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.countArrivals()
	rate := m.offered
	if interval > 0 {
		rate = m.arrived / interval.Seconds()
	}
	m.arrived = 0
	r := observe.Report{Account: "daehan", Interval: interval}
	r.Flows = append(r.Flows, observe.FlowDemand{
		Service: "dealer-desk", Caller: model.RegionName(m.ref.Region), OfferedRPS: rate,
	})
	for _, p := range m.fleet.account.Places {
		load := observe.PlaceLoad{Service: "dealer-desk", Place: p.Name}
		if string(p.Region) == m.ref.Region {
			load.SentRPS = rate / 2
		}
		r.Places = append(r.Places, load)
	}
	return []observe.Report{r}
}

// countArrivals adds the arrivals since its last call. The caller holds mu.
func (m *fleetNode) countArrivals() {
	now := time.Now()
	m.arrived += m.offered * now.Sub(m.counted).Seconds()
	m.counted = now
}

// setDemand sets the demand on the node.
func (m *fleetNode) setDemand(rps float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.countArrivals()
	m.offered = rps
}

func (m *fleetNode) apply(set *grant.Set) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.set = set
}

// permitted returns the permitted load of the node, summed over the places.
func (m *fleetNode) permitted() grant.Amount {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.set == nil || m.down {
		return 0
	}
	var sum grant.Amount
	for _, c := range m.fleet.account.Services[0].Capacity {
		sum += m.set.Allowed(grant.Key{Account: "daehan", Service: "dealer-desk", Place: c.Place}, time.Now())
	}
	return sum
}

// kill stops a node without releasing its grants.
func (m *fleetNode) kill() {
	m.mu.Lock()
	m.down = true
	m.mu.Unlock()
	m.cancel()
	<-m.done
}

func (f *fleet) stop() {
	for _, m := range f.nodes {
		if !m.isDown() {
			m.kill()
		}
	}
}

func (m *fleetNode) isDown() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.down
}

func (m *fleetNode) isCut() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cut
}

func (m *fleetNode) isPaused() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.paused
}

func (m *fleetNode) pause() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.paused = true
}

// fixDecider stops the node from learning of later deciders.
func (m *fleetNode) fixDecider() {
	ref, epoch, ok := m.fleet.deciderOf("daehan")
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fixedDecider = func() (*peerpb.NodeRef, uint64, bool) { return ref, epoch, ok }
}

func (m *fleetNode) deciderOf(name model.AccountName) (*peerpb.NodeRef, uint64, bool) {
	m.mu.Lock()
	fixed := m.fixedDecider
	m.mu.Unlock()
	if fixed != nil {
		return fixed()
	}
	return m.fleet.deciderOf(name)
}

func (m *fleetNode) setCut(cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut = cut
}

// check verifies the limits for the permitted load of all live nodes.
func (f *fleet) check() {
	use := ledger.NewUsage()
	limits := ledger.NewLimits(f.account)
	for _, m := range f.nodes {
		m.mu.Lock()
		for _, key := range limits.Keys() {
			if m.set == nil || m.down {
				continue
			}
			a := m.set.Allowed(grant.Key{Account: "daehan", Service: key.Service, Place: key.Place}, time.Now())
			use.Add(limits, model.RegionName(m.ref.Region), key, a)
		}
		m.mu.Unlock()
	}
	if err := use.Check(limits); err != nil {
		f.t.Error(err)
	}
}

// run lets seconds pass and returns the highest usage of any one second.
func (f *fleet) run(seconds int) (most usage) {
	for range seconds {
		before := f.usage()
		time.Sleep(time.Second)
		f.check()
		most.setMax(f.usage().sub(before))
	}
	return most
}

// usage counts the calls between nodes other than hastens, the hastens (requests of a
// decider to report), the bytes of both, and the writes and calls to the store.
type usage struct{ calls, hastens, bytes, writes, store int }

func (f *fleet) usage() usage {
	counts := f.store.Counts()
	f.mu.Lock()
	defer f.mu.Unlock()
	asked := f.answered[peerpb.Control_Hasten_FullMethodName]
	return usage{calls: f.calls - asked, hastens: asked, bytes: f.bytes, writes: int(counts.Of(faultkv.KindSwap)), store: int(counts.Total())}
}

func (u usage) sub(v usage) usage {
	return usage{u.calls - v.calls, u.hastens - v.hastens, u.bytes - v.bytes, u.writes - v.writes, u.store - v.store}
}

func (u *usage) setMax(v usage) {
	u.calls = max(u.calls, v.calls)
	u.hastens = max(u.hastens, v.hastens)
	u.bytes = max(u.bytes, v.bytes)
	u.writes = max(u.writes, v.writes)
	u.store = max(u.store, v.store)
}

// link is a connection from a node to an address.
type link struct {
	fleet   *fleet
	from    *fleetNode
	address string
}

var errDown = errors.New("fleet: node is down")

// Invoke implements grpc.ClientConnInterface.
func (l *link) Invoke(ctx context.Context, method string, args, reply any, _ ...grpc.CallOption) error {
	to := l.fleet.nodeAt(l.address)
	if to == nil || l.from.isCut() || to.isCut() {
		return errDown
	}
	if to.isPaused() {
		<-ctx.Done()
		return ctx.Err()
	}
	var answer proto.Message
	var err error
	switch request := args.(type) {
	case *peerpb.RenewRequest:
		answer, err = to.server.Renew(ctx, request)
		l.from.recordReported(request)
	case *peerpb.PassRequest:
		answer, err = to.relay.Pass(ctx, request)
		if err == nil {
			l.from.recordReported(request.Report)
		}
	case *peerpb.BatchRequest:
		answer, err = to.relay.Batch(ctx, proto.CloneOf(request))
	case *peerpb.LendRequest:
		answer, err = to.server.Lend(ctx, request)
	case *peerpb.HastenRequest:
		answer, err = to.server.Hasten(ctx, request)
	}
	if err != nil {
		return err
	}
	proto.Merge(reply.(proto.Message), answer)
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	l.fleet.calls++
	l.fleet.bytes += proto.Size(args.(proto.Message)) + proto.Size(answer)
	l.fleet.answered[method]++
	return nil
}

// recordReported records the demand in a report.
func (m *fleetNode) recordReported(request *peerpb.RenewRequest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reportedRPS = 0
	for _, f := range request.Flows {
		m.reportedRPS += float64(f.OfferedRps)
	}
}

// NewStream implements grpc.ClientConnInterface.
func (l *link) NewStream(context.Context, *grpc.StreamDesc, string, ...grpc.CallOption) (grpc.ClientStream, error) {
	return nil, errDown
}

func (f *fleet) nodeAt(address string) *fleetNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.nodes {
		if m.ref.PeerAddress == address && !m.isDown() {
			return m
		}
	}
	return nil
}
