package proxy

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/proxy/forward/forwardtest"
)

// pipeTarget is a target in simulated time; serve returns the service time of
// the next request.
type pipeTarget struct {
	mu    sync.Mutex
	serve func() time.Duration
}

func (p *pipeTarget) next() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.serve()
}

// dial implements Options.Dial.
func (p *pipeTarget) dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	go p.answer(far)
	return near, nil
}

func (p *pipeTarget) answer(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(p.next())
		if _, err := io.WriteString(c, forwardtest.Name(okAnswer, r.Header.Get(result.HeaderExchange))); err != nil {
			return
		}
	}
}

// loadCounts counts the outcomes of a generated load.
type loadCounts struct {
	ran, notRun, unknown int
	// lateRefusals were refused as not run after more than half of their
	// deadline.
	lateRefusals int
}

// sendOrders sends orders at random times, at the given mean rate per second.
func sendOrders(p *Proxy, random *rand.Rand, rate float64, deadline, length time.Duration) loadCounts {
	var mu sync.Mutex
	var all sync.WaitGroup
	var sum loadCounts
	for began := time.Now(); time.Since(began) < length; {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		all.Go(func() {
			start := time.Now()
			w := call(p, http.MethodPost, "/orders", "x", result.HeaderDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
			mu.Lock()
			defer mu.Unlock()
			sum.count(w.Header(), time.Since(start) > deadline/2)
		})
	}
	all.Wait()
	return sum
}

func (l *loadCounts) count(h http.Header, late bool) {
	switch h.Get(result.HeaderOutcome) {
	case result.Ran.String():
		l.ran++
	case result.NotRun.String():
		l.notRun++
		if late {
			l.lateRefusals++
		}
	default:
		l.unknown++
	}
}

// newOverloadProxy returns a proxy with three targets of three slots whose
// account queues excess traffic.
func newOverloadProxy(t *testing.T, serve func() time.Duration) *Proxy {
	target := &pipeTarget{serve: serve}
	return newTestProxy(t, func(o *Options, m *model.Account) {
		o.Dial = target.dial
		m.Excess = model.ExcessWait
	}, "10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80")
}

// closeAndSettle closes a proxy and waits until its targets have ended.
func closeAndSettle(p *Proxy) {
	p.Close()
	time.Sleep(time.Second)
}

// With a heavy latency tail, queued orders must be refused early as not run
// instead of being sent so late that they end as unknown.
func TestOrdersUnderOverloadAreNotSentTooLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(1, 2))
		p := newOverloadProxy(t, func() time.Duration {
			if random.IntN(10) == 0 {
				return 100 * time.Millisecond
			}
			return 10 * time.Millisecond
		})
		got := sendOrders(p, rand.New(rand.NewPCG(3, 4)), 600, 250*time.Millisecond, 20*time.Second)
		closeAndSettle(p)
		t.Logf("ran %d, not run %d (%d late), unknown %d", got.ran, got.notRun, got.lateRefusals, got.unknown)
		if all := got.ran + got.notRun + got.unknown; got.unknown*500 > all || got.lateRefusals*200 > all {
			t.Errorf("%d unknown and %d late refusals of %d", got.unknown, got.lateRefusals, all)
		}
		// Nine slots serve 9,470 in this time.
		if got.ran < 9000 {
			t.Errorf("%d ran", got.ran)
		}
	})
}

// Orders above the grant, or queued when it is withdrawn, must be refused at
// once and not near their deadlines.
func TestOrdersOverGrantAreRefusedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newOverloadProxy(t, func() time.Duration { return 10 * time.Millisecond })
		defer closeAndSettle(p)
		random := rand.New(rand.NewPCG(3, 4))
		p.SetGrants(testGrants(2, 200*grant.PerRequest))
		got := sendOrders(p, random, 300, 250*time.Millisecond, 20*time.Second)
		if got.unknown+got.lateRefusals > 0 || got.ran < 3900 {
			t.Errorf("%+v", got)
		}
		time.AfterFunc(100*time.Millisecond, func() { p.SetGrants(testGrants(3, 0)) })
		got = sendOrders(p, random, 300, 2*time.Second, time.Second)
		if got.unknown+got.lateRefusals > 0 || got.notRun == 0 {
			t.Errorf("grant withdrawn: %+v", got)
		}
	})
}
