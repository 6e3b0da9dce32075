package handover

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/lesismal/nbio"
)

// A node does not start: it ends with "a poller has no probe" on every machine
// with an even number of processors. Each probe was opened two descriptors after
// the last one, so that half of the pollers were never met. Here engines of many
// sizes start with various descriptors open, and each poller gets connections.
func TestStartsWithAnyNumberOfPollers(t *testing.T) {
	for _, pollers := range []int{1, 2, 3, 4, 8, 64} {
		for _, stride := range []int{1, 2, 3} {
			t.Run(fmt.Sprintf("%d pollers, every %dth descriptor open", pollers, stride), func(t *testing.T) {
				holdDescriptors(t, 3*pollers, stride)
				startAndStop(t, pollers)
			})
		}
	}
}

// holdDescriptors leaves all but every stride-th of n descriptors open.
func holdDescriptors(t *testing.T, n, stride int) {
	t.Helper()
	for i := range n {
		f, err := os.Open(os.DevNull)
		if err != nil {
			t.Fatal(err)
		}
		if i%stride == 0 {
			defer f.Close()
			continue
		}
		t.Cleanup(func() { f.Close() })
	}
}

func startAndStop(t *testing.T, pollers int) {
	t.Helper()
	engine := newEngine(pollers)
	if err := engine.Start(); err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a, err := Start(engine, l, func(c *nbio.Conn) { _ = c.Close() })
	if err != nil {
		t.Fatal(err)
	}
	if len(a.barriers) != pollers {
		t.Errorf("%d barriers for %d pollers", len(a.barriers), pollers)
	}
	a.Stop()
	engine.Stop()
}

func newEngine(pollers int) *nbio.Engine {
	engine := nbio.NewEngine(nbio.Config{Name: "test", NPoller: pollers})
	engine.OnData(func(c *nbio.Conn, data []byte) { c.DataHandler()(c, data) })
	return engine
}

// A node starts on a VM that has no descriptors left. It used to spin at a full
// core and outlive SIGTERM: the engine was stopped before its pollers had begun
// and forgot the stop. The start must end with an error, at once.
func TestStartWithoutDescriptorsEnds(t *testing.T) {
	engine := newEngine(4)
	if err := engine.Start(); err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	none := syscall.Rlimit{Cur: 3, Max: limit.Max}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &none); err != nil {
		t.Fatal(err)
	}
	_, err = Start(engine, l, func(*nbio.Conn) {})
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	if err == nil {
		t.Fatal("started without descriptors")
	}
}
