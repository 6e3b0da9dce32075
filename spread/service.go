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

// Service is one node's part in spreading items. It is safe for use by several
// goroutines.
type Service struct {
	options Options
	log     logrus.FieldLogger
	hub     *hub
	server  *server
	pushes  *pushQueue
	heard   *heardTable
	source  *sourceRunner
	ready   *readiness
	// pushedTo is the watcher that took the last push; runPush owns it.
	pushedTo string
	reads    *readings
	// listReads are those of the VM list.
	listReads *readings
	readerID  uint64
	started   time.Time
	dispatch  *dispatcher
	follows   [subscriptions]*subscription

	plan     atomic.Pointer[topology.Plan]
	planMu   sync.Mutex
	members  []topology.Member
	replaced chan struct{}

	randMu sync.Mutex
	rand   *rand.Rand
}

// subscriptions is how many streams a node keeps: a watcher one to the other
// watcher of its region and one to another region, all others just one.
const subscriptions = 2

// New returns a service that does nothing until Run and Register are called.
func New(options Options) (*Service, error) {
	options, err := options.withDefaults()
	if err != nil {
		return nil, err
	}
	s := &Service{
		options:   options,
		log:       options.Logger,
		hub:       newHub(options.ContentNames),
		pushes:    newPushQueue(),
		heard:     newHeardTable(),
		replaced:  make(chan struct{}),
		reads:     newReadings(),
		listReads: newReadings(),
		readerID:  readerIDOf(options.Ref),
		started:   time.Now(),
		rand:      rand.New(rand.NewPCG(options.Seed, options.Seed^0x9e3779b97f4a7c15)),
	}
	s.server = newServer(s)
	s.source = newSourceRunner(s)
	s.ready = newReadiness()
	s.dispatch = newDispatcher(s.hub)
	for i := range s.follows {
		s.follows[i] = newSubscription(s, i)
	}
	s.plan.Store(&topology.Plan{})
	s.refreshPlan()
	return s, nil
}

// Register adds the service to a node's gRPC server.
func (s *Service) Register(r grpc.ServiceRegistrar) {
	peerpb.RegisterSpreadServer(r, s.server)
}

// Run does the node's part until the context ends.
func (s *Service) Run(ctx context.Context) {
	tasks := []func(context.Context){
		s.runPlan, s.runCompare, s.runCompareRandom, s.runPush, s.runReady, s.source.run, s.dispatch.run,
	}
	for _, f := range s.follows {
		tasks = append(tasks, f.run)
	}
	var wg sync.WaitGroup
	for _, task := range tasks {
		wg.Go(func() { task(ctx) })
	}
	wg.Wait()
}

// Get returns the state of a key. Ok is false for a key that is unknown or
// deleted.
func (s *Service) Get(key string) (it item.Item, ok bool) {
	it, ok = s.Snapshot().Get(key)
	return it, ok && !it.Deleted
}

// Snapshot returns an immutable view of all items.
func (s *Service) Snapshot() *item.Snapshot { return s.hub.table.Snapshot() }

// OnItem calls fn for each key with the prefix that is there and then for each
// later state, one call at a time for the whole service. A key that changes
// faster than fn takes it skips states between; fn always gets the latest and
// never an older one after a later. Tombstones are passed on.
func (s *Service) OnItem(prefix string, fn func(item.Item)) {
	s.dispatch.add(prefix, fn)
}

// Publish spreads a state that this node made; a nil body deletes the key. It
// is applied here before it returns and reaches the others as soon as one
// watcher took it, which is tried until it succeeds or a later state of the
// key is published. The error tells that key or body can't be sent.
func (s *Service) Publish(key string, epoch, sequence uint64, body []byte) error {
	if err := check(key, body); err != nil {
		return err
	}
	it := item.New(key, epoch, sequence, body)
	if s.apply(it, nil) == item.Applied {
		s.pushes.add(key)
	}
	return nil
}

// Watching reports whether the node's part is to watch the platform's services
// for others.
func (s *Service) Watching() bool { return s.plan.Load().Role == topology.Watcher }

// jitter returns a duration between 1-spread and 1+spread times d.
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
