package proxy

import (
	"io"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
)

const (
	testMemory  = 20 << 20
	uploadBytes = 1 << 20
	uploads     = 100
	uploadText  = "POST /orders HTTP/1.1\r\n" + requestHead + "Content-Length: 1048576\r\n\r\n"
)

// A hundred warehouses upload at once while the target stands still. The node
// takes as many bodies as its memory allows and refuses the others at their
// heads; the memory in use stays near the bound instead of growing with the
// number of callers.
//
// The same with uploads that are sent on before they are whole: callers are
// read from faster than the target takes what they send.
func TestMemoryUnderManyUploads(t *testing.T) {
	t.Run("whole", func(t *testing.T) { testMemoryUnderUploads(t, 0) })
	t.Run("early", func(t *testing.T) { testMemoryUnderUploads(t, time.Hour) })
}

func testMemoryUnderUploads(t *testing.T, sendTime time.Duration) {
	target, release := newHeld(t)
	small := func(o *Options, m *model.Account) {
		o.MaxBufferedBytes = testMemory
		m.Services[0].Deadline = maxDeadline
		o.StreamAhead = time.Hour
	}
	p := newTestProxy(t, small, target.address())
	p.current.Load().accounts[testAccount].services[testService].state.sending.observe(1, sendTime)
	s := serveCallers(t, p)
	before := liveBytes()
	body := make([]byte, uploadBytes)
	var done sync.WaitGroup
	results := make(chan string, uploads)
	for range uploads {
		conn, reader := dialCaller(t, s)
		done.Go(func() {
			_, _ = io.WriteString(conn, uploadText)
			_, _ = conn.Write(body)
			results <- resultOf(reader)
		})
	}
	refused := 0
	for int64(uploads-refused)*uploadBytes > testMemory {
		if got := <-results; got != "113" {
			t.Fatalf("result %s", got)
		}
		refused++
	}
	until(func() bool { return p.InFlight() == uploads-refused-len(results) })
	held := liveBytes() - before
	taken := uploads - refused - len(results)
	t.Logf("%d uploads of 1 MiB taken, %d refused, %.1f MiB of heap in use", taken, uploads-taken, float64(held)/(1<<20))
	if taken < 10 || held > testMemory*3/2 {
		t.Errorf("%d uploads taken, %d bytes of heap in use", taken, held)
	}
	release()
	done.Wait()
	// A body is freed just after its answer was taken.
	until(func() bool { return p.bytes.Used() == 0 })
}

func liveBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
