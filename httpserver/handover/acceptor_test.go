package handover

import (
	"net"
	"sync/atomic"
	"testing"

	"github.com/lesismal/nbio"
)

// Guards against an engine that never stops because a poller had not started yet,
// and against a connection leaked by being accepted after Stop.
func TestStopRightAfterStart(t *testing.T) {
	const rounds, clients = 300, 4
	for round := range rounds {
		engine := nbio.NewEngine(nbio.Config{Name: "test", NPoller: 3})
		engine.OnData(func(c *nbio.Conn, data []byte) { c.DataHandler()(c, data) })
		if err := engine.Start(); err != nil {
			t.Fatal(err)
		}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		var stopped atomic.Bool
		a, err := Start(engine, l, func(c *nbio.Conn) {
			if stopped.Load() {
				t.Error("connection accepted after Stop returned")
			}
			c.OnData(func(*nbio.Conn, []byte) {})
			_, _ = engine.AddConn(c)
		})
		if err != nil {
			t.Fatal(err)
		}
		for range round % 2 * clients {
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
		}
		a.Stop()
		stopped.Store(true)
		a.StopEngine(engine.Stop)
	}
}
