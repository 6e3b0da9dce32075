package demo

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/Shopify/toxiproxy/v2/stream"
	"github.com/Shopify/toxiproxy/v2/toxics"
)

// Delays below a millisecond must apply in both directions, not all to the request and none to the
// answer.
func TestDelayBelowMillisecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in, out := make(chan *stream.StreamChunk, 2), make(chan *stream.StreamChunk)
		stub := toxics.NewToxicStub(in, out)
		go (&delay{OneWay: domainDelay}).Pipe(stub)
		sent := time.Now()
		for range 2 {
			in <- &stream.StreamChunk{Timestamp: sent}
		}
		for i := range 2 {
			<-out
			if took := time.Since(sent); took != domainDelay {
				t.Errorf("chunk %d took %v, want %v", i, took, domainDelay)
			}
		}
		close(in)
		if _, open := <-out; open {
			t.Error("a chunk that nobody sent")
		}
	})
}
