package spread

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/spread/item"
	"github.com/yuccaroute/yuccaroute/spread/topology"
)

// Service distributes items between this node and its peers. It is safe for
// concurrent use.
type Service struct {
	options   Options
	log       logrus.FieldLogger
	hub       *hub
	server    *server
	pushes    *pushQueue
	peers     *peerTable
	source    *sourceRunner
	readiness *readiness
	// lastPushPeer is the watcher that accepted the last push; owned by
	// runPush.
	lastPushPeer string
	storeReads   *readTracker
	// listReads tracks reads of the VM list.
	listReads     *readTracker
	readerID      uint64
	started       time.Time
	dispatch      *dispatcher
	subscriptions [maxSubscriptions]*subscription

	plan        atomic.Pointer[topology.Plan]
	planMu      sync.Mutex
	members     []topology.Member
	planUpdated chan struct{}

	randMu sync.Mutex
	rand   *rand.Rand
}

// maxSubscriptions is the number of streams a node keeps: watchers keep one to
// the other watcher of their region and one to another region, all other nodes
// keep one.
const maxSubscriptions = 2

// New returns a service. It is inactive until Register and Run are called.
func New(options Options) (*Service, error) {
	options, err := options.withDefaults()
	if err != nil {
		return nil, err
	}
	s := &Service{
		options:     options,
		log:         options.Logger,
		hub:         newHub(options.ContentNames),
		pushes:      newPushQueue(),
		peers:       newPeerTable(),
		planUpdated: make(chan struct{}),
		storeReads:  newReadTracker(),
		listReads:   newReadTracker(),
		readerID:    readerIDOf(options.Ref),
		started:     time.Now(),
		rand:        rand.New(rand.NewPCG(options.Seed, options.Seed^0x9e3779b97f4a7c15)),
	}
	s.server = newServer(s)
	s.source = newSourceRunner(s)
	s.readiness = newReadiness()
	s.dispatch = newDispatcher(s.hub)
	for i := range s.subscriptions {
		s.subscriptions[i] = newSubscription(s, i)
	}
	s.plan.Store(&topology.Plan{})
	s.refreshPlan()
	return s, nil
}

// Register adds the service to the node's gRPC server.
func (s *Service) Register(r grpc.ServiceRegistrar) {
	peerpb.RegisterSpreadServer(r, s.server)
}

// Run runs the service until the context ends.
func (s *Service) Run(ctx context.Context) {
	tasks := []func(context.Context){
		s.runPlan, s.runCompareAlternate, s.runCompareRandom, s.runPush, s.runReady, s.source.run, s.dispatch.run,
	}
	for _, f := range s.subscriptions {
		tasks = append(tasks, f.run)
	}
	var wg sync.WaitGroup
	for _, task := range tasks {
		wg.Go(func() { task(ctx) })
	}
	wg.Wait()
}

// Get returns the state of a key. ok is false for a key that is unknown or
// deleted.
func (s *Service) Get(key string) (it item.Item, ok bool) {
	it, ok = s.Snapshot().Get(key)
	return it, ok && !it.Deleted
}

// Snapshot returns an immutable view of all items.
func (s *Service) Snapshot() *item.Snapshot { return s.hub.table.Snapshot() }

// OnItem calls fn for each existing key with the prefix and then for each later
// state, one call at a time for the whole service. Intermediate states may be
// skipped, but fn always receives the latest one and never an older one after a
// newer one. Tombstones are delivered.
func (s *Service) OnItem(prefix string, fn func(item.Item)) {
	s.dispatch.add(prefix, fn)
}

// Publish distributes a state created by this node; a nil body deletes the key.
// The state is applied locally before Publish returns, and pushed to a watcher
// until it is accepted or superseded. The error reports an invalid key or body.
func (s *Service) Publish(key string, epoch, sequence uint64, body []byte) error {
	if err := validate(key, body); err != nil {
		return err
	}
	it := item.New(key, epoch, sequence, body)
	if s.apply(it, nil) == item.Applied {
		s.pushes.add(key)
	}
	return nil
}

// Watching reports whether the node's role is to watch the platform's services
// on behalf of others.
func (s *Service) Watching() bool { return s.plan.Load().Role == topology.Watcher }

// jitter returns d multiplied by a random factor between 1-spread and 1+spread.
func (s *Service) jitter(d time.Duration, spread float64) time.Duration {
	s.randMu.Lock()
	defer s.randMu.Unlock()
	return time.Duration(float64(d) * (1 + spread*(2*s.rand.Float64()-1)))
}

// pick returns a random number below n.
func (s *Service) pick(n int) int {
	s.randMu.Lock()
	defer s.randMu.Unlock()
	return s.rand.IntN(n)
}
