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

// early is a Bodies whose requests are handed over once half of their body is
// there.
type early struct{}

func (early) ReserveBody(http.Header, int64) (Reservation, result.Code) {
	return Reservation{LeadTime: time.Hour}, result.OK
}

// Requests with large bodies, of all lengths around the bound, come one behind
// the other and cut into pieces anywhere: within the blank line, in front of
// the next head. The bodies hold what looks like the end of a head. Each caller
// must get its own bytes back, in order.
func TestBodiesAreWholeHoweverTheyCome(t *testing.T) {
	s := startServer(t, Options{Handler: http.HandlerFunc(echo), BodyAdmitter: early{}})
	random := rand.New(rand.NewPCG(1, 2))
	for range 10 {
		conn, reader := dialServer(t, s)
		var sent bytes.Buffer
		var bodies []string
		for i := range 6 {
			length := []int{0, 3, collectOverBytes, collectOverBytes + 1, 2 * pieceBytes, 5*pieceBytes - 1}[random.IntN(6)]
			body := strings.Repeat(fmt.Sprint(i)+"\r\n\r\nGET / HTTP/1.1\r\n \r\n", length)[:length]
			bodies = append(bodies, body)
			fmt.Fprintf(&sent, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n%s\r\n", length, strings.Repeat(" ", i%2))
			sent.WriteString(body)
		}
		go func() {
			for sent.Len() > 0 {
				_, _ = conn.Write(sent.Next(1 + random.IntN(3*pieceBytes>>random.IntN(18))))
			}
		}()
		for i, want := range bodies {
			if _, got := readAnswer(t, reader); got != want {
				t.Fatalf("body %d: %d bytes, want %d, equal %t", i, len(got), len(want), got == want)
			}
		}
	}
}

// A warehouse's link nearly stops when its upload was handed over. Whoever
// waits for the rest, with a slot at a target, must not wait for ever.
func TestStalledBodyIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBody(2 * pieceBytes)
		b.add(make([]byte, pieceBytes))
		b.limit(time.Now().Add(stallTime))
		began := time.Now()
		if _, err := b.At(context.Background(), pieceBytes); err != ErrBodyStalled || time.Since(began) != stallTime {
			t.Errorf("%v after %s", err, time.Since(began))
		}
	})
}

// A request is handed over so that its target gets the last bytes when it would
// be done with the others; earlier would hold one of its slots for nothing.
func TestBodyIsDueWhenTheRestIsAboutToCome(t *testing.T) {
	const length = 100 << 10
	for _, c := range []struct {
		arrived int
		took    time.Duration
		ahead   time.Duration
		want    bool
	}{
		{arrived: length * 3 / 10, took: time.Millisecond, ahead: time.Hour},
		{arrived: length / 2, took: 100 * time.Millisecond, ahead: 100 * time.Millisecond, want: true},
		{arrived: length / 2, took: 101 * time.Millisecond, ahead: 100 * time.Millisecond},
		{arrived: length * 9 / 10, took: 900 * time.Millisecond, ahead: 100 * time.Millisecond, want: true},
		{arrived: length * 9 / 10, took: 10 * time.Second, ahead: 100 * time.Millisecond},
		{arrived: length - 1, took: time.Second},
		{arrived: length, took: time.Hour, want: true},
	} {
		synctest.Test(t, func(t *testing.T) {
			b := newBody(length)
			time.Sleep(c.took)
			b.add(make([]byte, c.arrived))
			if got := b.due(c.ahead); got != c.want {
				t.Errorf("%+v: due %t", c, got)
			}
		})
	}
}
