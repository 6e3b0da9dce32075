package handover

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/lesismal/nbio"
)

// Every poller must get a probe, whatever the number of pollers and the pattern of
// open descriptors.
func TestStartsWithAnyNumberOfPollers(t *testing.T) {
	for _, pollers := range []int{1, 2, 3, 4, 8, 64} {
		for _, stride := range []int{1, 2, 3} {
			t.Run(fmt.Sprintf("%d pollers, one of %d descriptors free", pollers, stride), func(t *testing.T) {
				holdDescriptors(t, 3*pollers, stride)
				startAndStop(t, pollers)
			})
		}
	}
}

// holdDescriptors opens n descriptors and closes every stride-th of them.
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
		t.Errorf("got %d barriers, want one for each of %d pollers", len(a.barriers), pollers)
	}
	a.Stop()
	a.StopEngine(engine.Stop)
}

func newEngine(pollers int) *nbio.Engine {
	engine := nbio.NewEngine(nbio.Config{Name: "test", NPoller: pollers})
	engine.OnData(func(c *nbio.Conn, data []byte) { c.DataHandler()(c, data) })
	return engine
}

// Without free descriptors, Start must return an error and leave the engine alone:
// stopping it before its pollers run would make them spin forever.
func TestStartFailsWithoutDescriptors(t *testing.T) {
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
		t.Fatal("Start succeeded without free descriptors")
	}
}
