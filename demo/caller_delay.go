package demo

import (
	"io"
	"net"
	"time"

	"github.com/Shopify/toxiproxy/v2/stream"
	"github.com/Shopify/toxiproxy/v2/toxics"
)

// delayCaller delays a connection between a caller and an entry VM by
// callerDelay in each direction, its opening by a round trip. A relay cannot
// stand here: the entry VM would see its address and not the caller's, by which
// it knows the caller's region.
func delayCaller(conn net.Conn) net.Conn {
	time.Sleep(2 * callerDelay)
	callerEnd, entryEnd := net.Pipe()
	go carry(conn, entryEnd)
	go carry(entryEnd, conn)
	return callerEnd
}

// carry delays one direction and closes both ends when either ends. The delay
// is the one that the relays use.
func carry(to, from net.Conn) {
	toxic := &toxics.LatencyToxic{Latency: callerDelay.Milliseconds()}
	sent := make(chan *stream.StreamChunk, toxic.GetBufferSize())
	due := make(chan *stream.StreamChunk)
	go toxic.Pipe(toxics.NewToxicStub(sent, due))
	go func() {
		w := stream.NewChanWriter(sent)
		_, _ = io.Copy(w, from)
		_ = w.Close()
	}()
	_, _ = io.Copy(to, stream.NewChanReader(due))
	_ = to.Close()
	_ = from.Close()
	// What is under way to an end that is closed holds the toxic up until it
	// is taken.
	for range due {
	}
}
