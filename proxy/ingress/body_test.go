package ingress

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaroute/yuccaroute/api/result"
)

// earlyDispatch is a BodyAdmitter that dispatches a request once half of its body
// has arrived.
type earlyDispatch struct{}

func (earlyDispatch) ReserveBody(http.Header, int64) (Reservation, result.Code) {
	return Reservation{LeadTime: time.Hour}, result.OK
}

// Pipelined requests with bodies around the size threshold, which contain blank
// lines and arrive in arbitrary segments, must be echoed intact and in order.
func TestPipelinedBodiesInArbitrarySegments(t *testing.T) {
	s := startServer(t, Options{Handler: http.HandlerFunc(echo), BodyAdmitter: earlyDispatch{}})
	random := rand.New(rand.NewPCG(1, 2))
	for range 10 {
		conn, reader := dialServer(t, s)
		var sent bytes.Buffer
		var bodies []string
		for i := range 6 {
			length := []int{0, 3, collectThresholdBytes, collectThresholdBytes + 1, 2 * bodyBufferBytes, 5*bodyBufferBytes - 1}[random.IntN(6)]
			body := strings.Repeat(fmt.Sprint(i)+"\r\n\r\nGET / HTTP/1.1\r\n \r\n", length)[:length]
			bodies = append(bodies, body)
			fmt.Fprintf(&sent, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n%s\r\n", length, strings.Repeat(" ", i%2))
			sent.WriteString(body)
		}
		go func() {
			for sent.Len() > 0 {
				_, _ = conn.Write(sent.Next(1 + random.IntN(3*bodyBufferBytes>>random.IntN(18))))
			}
		}()
		for i, want := range bodies {
			if _, got := readResponse(t, reader); got != want {
				t.Fatalf("body %d: %d bytes, want %d, equal %t", i, len(got), len(want), got == want)
			}
		}
	}
}

// Waiting for the rest of a stalled body must be bounded, since it holds a slot
// at a target.
func TestStalledBodyTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBody(2 * bodyBufferBytes)
		b.write(make([]byte, bodyBufferBytes))
		b.setStallDeadline(time.Now().Add(stallTimeout))
		start := time.Now()
		if _, err := b.At(context.Background(), bodyBufferBytes); err != ErrBodyStalled || time.Since(start) != stallTimeout {
			t.Errorf("%v after %s", err, time.Since(start))
		}
	})
}

// A request dispatched too early would hold a slot at its target while waiting
// for the body.
func TestBodyReadyForDispatch(t *testing.T) {
	const length = 100 << 10
	for _, c := range []struct {
		received int
		elapsed  time.Duration
		leadTime time.Duration
		want     bool
	}{
		{received: length * 3 / 10, elapsed: time.Millisecond, leadTime: time.Hour},
		{received: length / 2, elapsed: 100 * time.Millisecond, leadTime: 100 * time.Millisecond, want: true},
		{received: length / 2, elapsed: 101 * time.Millisecond, leadTime: 100 * time.Millisecond},
		{received: length * 9 / 10, elapsed: 900 * time.Millisecond, leadTime: 100 * time.Millisecond, want: true},
		{received: length * 9 / 10, elapsed: 10 * time.Second, leadTime: 100 * time.Millisecond},
		{received: length - 1, elapsed: time.Second},
		{received: length, elapsed: time.Hour, want: true},
	} {
		synctest.Test(t, func(t *testing.T) {
			b := newBody(length)
			time.Sleep(c.elapsed)
			b.write(make([]byte, c.received))
			if got := b.readyForDispatch(c.leadTime); got != c.want {
				t.Errorf("%+v: ready %t", c, got)
			}
		})
	}
}
