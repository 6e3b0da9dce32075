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
	// silentHeartbeats is after how many heartbeats a silent stream is given
	// up. A relay that hangs keeps its connections open, so no error shows it.
	silentHeartbeats = 2.5
	// returnHeartbeats is how often a node looks whether it can go back to an
	// upstream earlier in its order.
	returnHeartbeats = 30
)

// Reasons for which a stream is left.
var (
	errSilent = errors.New("spread: upstream is silent")
	errLags   = errors.New("spread: upstream lags")
	errCutOff = errors.New("spread: upstream receives from nobody")
	errMoved  = errors.New("spread: another upstream comes first")
)

// subscription keeps one stream from the best upstream that works.
type subscription struct {
	service *Service
	index   int

	mu       sync.Mutex
	selector *selector
	// current is the upstream followed, empty when there is none.
	current string
	// fed tells that the upstream said it leads to the store.
	fed bool
}

func newSubscription(s *Service, index int) *subscription {
	jitter := func(d time.Duration) time.Duration { return s.jitter(d, jitterShare) }
	return &subscription{
		service:  s,
		index:    index,
		selector: newSelector(s.options.Heartbeat, jitter),
	}
}

// run follows one upstream after the other until the context ends.
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

// ended records why a stream ended.
func (f *subscription) ended(vm string, after time.Duration, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = ""
	f.fed = false
	f.selector.served(vm, after)
	if errors.Is(err, errMoved) {
		return
	}
	f.selector.fail(vm, time.Now())
	f.service.log.Debugf("spread: left upstream %s after %s: %v", vm, after.Round(time.Millisecond), err)
}

// follow reads one stream until it ends or should be left.
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
		// Repairs are bounded by their own timeouts.
		watchdog.Stop()
		if err := r.take(ctx, u); err != nil {
			return err
		}
		watchdog.Reset(silence)
	}
}

// causeOr returns why the node itself ended the call, or the call's error.
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

func (f *subscription) isFailing(vm string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.selector.failing(vm, time.Now())
}

// state returns the upstream followed and whether it leads to the store.
func (f *subscription) state() (vm string, fed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current, f.fed
}
