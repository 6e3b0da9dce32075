package peerwatch

import (
	"net"
	"testing"
	"time"
)

// BenchmarkTimeToFindLostPeer measures how long a peer without power is not found, with the time-outs that targets
// have at a round trip of 1 ms. The figure is in milliseconds since the loss of power.
func BenchmarkTimeToFindLostPeer(b *testing.B) {
	options := Options{Dialer: net.Dialer{Timeout: 252 * time.Millisecond, KeepAlive: -1}, Timeout: 902 * time.Millisecond}
	for name, c := range map[string]struct {
		bytes int
		after time.Duration
	}{
		"in flight":                         {400, 0},
		"unread upload, loss after 300 ms":  {uploadBytes, 300 * time.Millisecond},
		"unread upload, loss after 1000 ms": {uploadBytes, 1000 * time.Millisecond},
		"unread upload, loss after 2500 ms": {uploadBytes, 2500 * time.Millisecond},
	} {
		b.Run(name, func(b *testing.B) {
			total := time.Duration(0)
			for b.Loop() {
				p, conn := newPeerWith(b, options)
				var lost time.Time
				if c.after == 0 {
					p.losePower(b)
					lost = time.Now()
				} else {
					timer := time.AfterFunc(c.after, func() { p.losePower(b) })
					defer timer.Stop()
					lost = time.Now().Add(c.after)
				}
				if _, err := upload(conn, c.bytes); err == nil {
					b.Error("no error")
				}
				total += time.Since(lost)
			}
			b.ReportMetric(float64(total.Milliseconds())/float64(b.N), "ms/loss")
		})
	}
}
