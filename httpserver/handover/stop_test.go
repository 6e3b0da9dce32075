package handover

import (
	"net"
	"os"
	"path/filepath"
	"testing"

	"github.com/lesismal/nbio"
)

// A poller that ends before the engine's stop has written its wake-up closes the
// descriptor first, so that the eight bytes reach a connection of another server.
func TestPollersEndAfterTheirWakeUp(t *testing.T) {
	const pollers, clients = 8, 32
	before := eventDescriptors(t)
	engine := newEngine(pollers)
	if err := engine.Start(); err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a, err := Start(engine, l, func(c *nbio.Conn) {
		c.OnData(func(*nbio.Conn, []byte) {})
		_, _ = engine.AddConn(c)
	})
	if err != nil {
		t.Fatal(err)
	}
	closeClients(t, l.Addr().String(), clients)
	a.Stop()
	open := 0
	a.StopEngine(func() {
		engine.Stop()
		open = countNew(before, eventDescriptors(t))
	})
	if open != pollers {
		t.Errorf("%d of %d pollers had not ended when all were woken", open, pollers)
	}
	if n := countNew(before, eventDescriptors(t)); n > 0 {
		t.Errorf("%d pollers run after the stop", n)
	}
}

// closeClients opens connections and closes them, so that pollers have events to process.
func closeClients(t *testing.T, address string, clients int) {
	t.Helper()
	for range clients {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
}

// eventDescriptors returns the event descriptors of the process; each poller has one.
func eventDescriptors(t *testing.T) map[string]bool {
	t.Helper()
	const folder = "/proc/self/fd"
	entries, err := os.ReadDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	found := make(map[string]bool)
	for _, entry := range entries {
		// A descriptor may be closed meanwhile.
		target, _ := os.Readlink(filepath.Join(folder, entry.Name()))
		if target == "anon_inode:[eventfd]" {
			found[entry.Name()] = true
		}
	}
	return found
}

func countNew(before, after map[string]bool) int {
	n := 0
	for fd := range after {
		if !before[fd] {
			n++
		}
	}
	return n
}
