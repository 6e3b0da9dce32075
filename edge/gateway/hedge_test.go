package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaroute/yuccaroute/proxy/pool"
)

// Guards against hedging a cold run, which takes three times as long as a warm one: the
// second target would run it cold as well.
func TestColdRunIsNotHedged(t *testing.T) {
	const warm, left = 110 * time.Millisecond, 2 * time.Second
	if got := hedgeDelay(warm, left); got < 3*warm {
		t.Errorf("hedged after %v, a cold run takes %v", got, 3*warm)
	}
	if got := hedgeDelay(time.Second, left); got > left/2 {
		t.Errorf("hedged after %v of %v: not enough time left for the second target", got, left)
	}
}

// pipeDialer connects to scripted targets by in-memory pipes, so that a test can run in
// virtual time.
func pipeDialer(scripts map[*target]script) func(time.Duration) pool.Dial {
	dial := func(_ context.Context, address string) (net.Conn, error) {
		for s, answer := range scripts {
			if s.address() == address {
				near, far := net.Pipe()
				go s.serve(far, answer)
				return near, nil
			}
		}
		return nil, errors.New("no such target")
	}
	return func(time.Duration) pool.Dial { return dial }
}

// An idempotent request at a target that never answers is answered by another target.
func TestIdempotentRequestIsHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		over := make(chan struct{})
		silent := func(*bufio.Writer, *http.Request, string) bool { <-over; return false }
		bad, good := &target{id: "bad"}, &target{id: "good"}
		f := newGatewayOn(t, pipeDialer(map[*target]script{bad: silent, good: ok}), bad, good)
		for i := range 4 {
			if a := f.ask(context.Background(), "GET", "/safe/x", fmt.Sprint(i), 2*time.Second, ""); a.Status != 200 {
				t.Errorf("request %d: %d\n%s", i, a.Status, f.logText())
			}
		}
		if bad.count() == 0 {
			t.Error("no request reached the unresponsive target")
		}
		close(over)
		f.closePools(nil)
		synctest.Wait()
	})
}

// A hedged request goes to a third target if the second one refuses it, instead of waiting
// for its deadline.
func TestRefusedHedgeIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		over := make(chan struct{})
		silent := func(*bufio.Writer, *http.Request, string) bool { <-over; return false }
		bad, full, good := &target{id: "bad"}, &target{id: "full"}, &target{id: "good"}
		f := newGatewayOn(t, pipeDialer(map[*target]script{bad: silent, full: shed, good: ok}), bad, full, good)
		for i := range 8 {
			if a := f.ask(context.Background(), "GET", "/safe/x", fmt.Sprint(i), 2*time.Second, ""); a.Status != 200 {
				t.Errorf("request %d: %d\n%s", i, a.Status, f.logText())
			}
		}
		close(over)
		f.closePools(nil)
		synctest.Wait()
	})
}
