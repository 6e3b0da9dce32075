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

// An object is asked for the first time and takes three times as long as usual. It must
// not be sent to a second target for that, which would run it cold as well.
func TestColdRunIsNotSentTwice(t *testing.T) {
	const warm, left = 110 * time.Millisecond, 2 * time.Second
	if got := hedgeDelay(warm, left); got < 3*warm {
		t.Errorf("sent again after %v, a cold run takes %v", got, 3*warm)
	}
	if got := hedgeDelay(time.Second, left); got > left/2 {
		t.Errorf("sent again after %v of %v: the second target needs the rest", got, left)
	}
}

// pipeDialer reaches scripted targets through memory, so that a test can run in virtual time.
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

// One of two targets has lost power with a look-up in hand. The other one answers it.
func TestSilentTargetOfALookupIsPassedBy(t *testing.T) {
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
			t.Error("the silent target was not asked")
		}
		close(over)
		f.closePools(nil)
		synctest.Wait()
	})
}

// One of three targets has lost power with a look-up in hand, and another one refuses all.
// The caller waited for its deadline when the second target was the one that refuses.
func TestSecondTargetThatRefusesIsNotTheLast(t *testing.T) {
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
