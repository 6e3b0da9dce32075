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

// Memory must stay near its bound under many concurrent uploads to a blocked
// target, buffered or streamed, with the excess refused by the request head.
func TestMemoryUnderManyUploads(t *testing.T) {
	t.Run("whole", func(t *testing.T) { testMemoryUnderUploads(t, 0) })
	t.Run("early", func(t *testing.T) { testMemoryUnderUploads(t, time.Hour) })
}

func testMemoryUnderUploads(t *testing.T, sendTime time.Duration) {
	target, release := newBlockedTarget(t)
	small := func(o *Options, m *model.Account) {
		o.MaxBufferedBytes = testMemory
		m.Services[0].Deadline = maxDeadline
		o.StreamAhead = time.Hour
	}
	p := newTestProxy(t, small, target.address())
	p.current.Load().accounts[testAccount].services[testService].state.sendTime.observe(1, sendTime)
	s := startIngress(t, p)
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
	waitUntil(func() bool { return p.InFlight() == uploads-refused-len(results) })
	held := liveBytes() - before
	taken := uploads - refused - len(results)
	t.Logf("%d uploads of 1 MiB taken, %d refused, %.1f MiB of heap in use", taken, uploads-taken, float64(held)/(1<<20))
	if taken < 10 || held > testMemory*3/2 {
		t.Errorf("%d uploads taken, %d bytes of heap in use", taken, held)
	}
	release()
	done.Wait()
	// The memory of a body is released just after its answer was received.
	waitUntil(func() bool { return p.bytes.Used() == 0 })
}

func liveBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
