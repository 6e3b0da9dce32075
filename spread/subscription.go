package spread

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/api/wait"
	"github.com/yuccaroute/yuccaroute/spread/topology"
)

const (
	// silentHeartbeats is how long, in heartbeats, a stream may be silent
	// before it is closed. A hung upstream keeps its connections open and
	// returns no error.
	silentHeartbeats = 2.5
	// returnHeartbeats is how often a node checks whether it can return to an
	// upstream of higher preference.
	returnHeartbeats = 30
)

// Reasons for closing a stream.
var (
	errSilent         = errors.New("spread: no message from upstream within the timeout")
	errLagging        = errors.New("spread: upstream is outdated")
	errNoStorePath    = errors.New("spread: upstream has no path to the store")
	errBetterUpstream = errors.New("spread: another upstream is preferred")
)

// subscription maintains one stream from the most preferred upstream that
// works.
type subscription struct {
	service *Service
	index   int

	mu       sync.Mutex
	selector *selector
	// current is the upstream of the open stream, empty if there is none.
	current string
	// hasStorePath reports whether the upstream has a path to the store.
	hasStorePath bool
}

func newSubscription(s *Service, index int) *subscription {
	jitter := func(d time.Duration) time.Duration { return s.jitter(d, jitterFraction) }
	return &subscription{
		service:  s,
		index:    index,
		selector: newSelector(s.options.Heartbeat, jitter),
	}
}

// run subscribes to one upstream after another until the context ends.
func (f *subscription) run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := f.service.planChanged()
		m, untilFree, ok := f.choose()
		if !ok {
			f.waitForPlan(ctx, changed)
			continue
		}
		if untilFree > 0 && !wait.For(ctx, untilFree) {
			return
		}
		started := time.Now()
		err := f.follow(ctx, m)
		f.ended(m.VM, time.Since(started), err)
	}
}

func (f *subscription) waitForPlan(ctx context.Context, changed <-chan struct{}) {
	select {
	case <-ctx.Done():
	case <-changed:
	}
}

func (f *subscription) choose() (topology.Member, time.Duration, bool) {
	var order []topology.Member
	if ups := f.service.plan.Load().Upstreams; f.index < len(ups) {
		order = ups[f.index]
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.selector.setOrder(order)
	return f.selector.next(time.Now())
}

// ended records the end of a stream and penalizes an upstream that failed.
func (f *subscription) ended(vm string, after time.Duration, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = ""
	f.hasStorePath = false
	f.selector.served(vm, after)
	if errors.Is(err, errBetterUpstream) {
		return
	}
	f.selector.fail(vm, time.Now())
	f.service.log.Debugf("spread: disconnected from upstream %s after %s: %v", vm, after.Round(time.Millisecond), err)
}

// follow reads one stream until it fails or should be closed.
func (f *subscription) follow(ctx context.Context, m topology.Member) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	client, err := f.service.client(m)
	if err != nil {
		return err
	}
	silence := time.Duration(silentHeartbeats * float64(f.service.options.Heartbeat))
	watchdog := time.AfterFunc(silence, func() { cancel(errSilent) })
	defer watchdog.Stop()
	stream, err := client.Subscribe(ctx, &peerpb.SubscribeRequest{Node: f.service.options.Ref})
	if err != nil {
		return causeOr(ctx, err)
	}
	r := newReader(f, m)
	for {
		u, err := stream.Recv()
		if err != nil {
			return causeOr(ctx, err)
		}
		// Repairs have their own timeouts.
		watchdog.Stop()
		if err := r.handle(ctx, u); err != nil {
			return err
		}
		watchdog.Reset(silence)
	}
}

// causeOr returns the cause of a local cancellation, or else err.
func causeOr(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

func (f *subscription) isCurrent(vm string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current == vm
}

func (f *subscription) isPenalized(vm string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.selector.penalized(vm, time.Now())
}

// state returns the current upstream and whether it has a path to the store.
func (f *subscription) state() (vm string, hasStorePath bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current, f.hasStorePath
}
