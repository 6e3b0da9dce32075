package demo

import (
	"time"

	"github.com/Shopify/toxiproxy/v2/stream"
	"github.com/Shopify/toxiproxy/v2/toxics"
)

const (
	// toxicDelay is the name under which the library knows delay.
	toxicDelay = "delay"
	// delayBuffer is how many chunks may be under way in one direction, as in
	// the library's own latency.
	delayBuffer = 1024
)

// delay holds back what passes a relay in one direction. The library's own
// latency counts whole milliseconds, too coarse for the delay within a region.
type delay struct {
	// OneWay is in nanoseconds.
	OneWay time.Duration `json:"one_way"`
}

func init() { toxics.Register(toxicDelay, new(delay)) }

// GetBufferSize lets chunks overlap: without a buffer each would wait for the
// delay of the one before it as well as its own.
func (d *delay) GetBufferSize() int { return delayBuffer }

// Pipe passes chunks on in their order until the connection or the delay ends.
func (d *delay) Pipe(stub *toxics.ToxicStub) {
	for {
		select {
		case <-stub.Interrupt:
			return
		case chunk := <-stub.Input:
			if chunk == nil {
				stub.Close()
				return
			}
			interrupted := d.hold(stub, chunk)
			stub.Output <- chunk
			if interrupted {
				return
			}
		}
	}
}

// hold waits until a chunk is due and reports whether the wait was interrupted.
func (d *delay) hold(stub *toxics.ToxicStub, chunk *stream.StreamChunk) bool {
	due := time.NewTimer(time.Until(chunk.Timestamp.Add(d.OneWay)))
	defer due.Stop()
	select {
	case <-due.C:
		return false
	case <-stub.Interrupt:
		return true
	}
}
