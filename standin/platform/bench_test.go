package platform_test

import (
	"io"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/httpserver"
	"github.com/yuccaroute/yuccaroute/platform/kvclient"
	"github.com/yuccaroute/yuccaroute/standin/platform"
	"github.com/yuccaroute/yuccaroute/store/memkv"
)

// idleConnections is above the calls that a benchmark has under way.
const idleConnections = 1000

// parallelCalls is how many calls a client has under way in a benchmark, for
// each processor.
const parallelCalls = 4

func open(b *testing.B, address func(string) string, options platform.Options) (*platform.Server, *kvclient.Client) {
	b.Helper()
	httpserver.QuietLibraryLogs()
	options.Address = "127.0.0.1:0"
	s := platform.New(options)
	if err := s.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = s.Stop() })
	c, err := kvclient.New(kvclient.Options{Address: address(s.Addr()), MaxIdleConns: idleConnections})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(c.Close)
	return s, c
}

func direct(address string) string { return address }

func reportRate(b *testing.B) {
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
}

func BenchmarkGetOneByOne(b *testing.B) {
	_, c := open(b, direct, platform.Options{})
	if _, err := c.Swap(b.Context(), "a", make([]byte, 1000), 0, 0); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := c.Get(b.Context(), "a"); err != nil {
			b.Fatal(err)
		}
	}
	reportRate(b)
}

func BenchmarkGetParallel(b *testing.B) {
	_, c := open(b, direct, platform.Options{})
	if _, err := c.Swap(b.Context(), "a", make([]byte, 1000), 0, 0); err != nil {
		b.Fatal(err)
	}
	b.SetParallelism(parallelCalls)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := c.Get(b.Context(), "a"); err != nil {
				b.Error(err)
				return
			}
		}
	})
	reportRate(b)
}

func BenchmarkSwapParallel(b *testing.B) {
	_, c := open(b, direct, platform.Options{})
	var next atomic.Int64
	value := make([]byte, 1000)
	b.SetParallelism(parallelCalls)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			key := strconv.FormatInt(next.Add(1), 10)
			if _, err := c.Swap(b.Context(), key, value, 0, 0); err != nil {
				b.Error(err)
				return
			}
		}
	})
	reportRate(b)
}

// byteMeter forwards connections and counts their bytes both ways.
type byteMeter struct {
	bytes atomic.Int64
}

func (m *byteMeter) open(b *testing.B, to string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { l.Close() })
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				in.Close()
				continue
			}
			go m.copy(out, in)
			go m.copy(in, out)
		}
	}()
	return l.Addr().String()
}

func (m *byteMeter) copy(to, from net.Conn) {
	defer to.Close()
	_, _ = io.Copy(io.MultiWriter(to, m), from)
}

func (m *byteMeter) Write(p []byte) (int, error) {
	m.bytes.Add(int64(len(p)))
	return len(p), nil
}

func BenchmarkBytesOfIdleWatch(b *testing.B) {
	var m byteMeter
	_, c := open(b, func(to string) string { return m.open(b, to) },
		platform.Options{Store: memkv.Options{WatchWait: time.Millisecond}})
	revision, err := c.Swap(b.Context(), "config/head/dealer", nil, 0, 0)
	if err != nil {
		b.Fatal(err)
	}
	before := m.bytes.Load()
	for b.Loop() {
		if _, err := c.Watch(b.Context(), "config/head/", revision); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(m.bytes.Load()-before)/float64(b.N), "B/watch")
}

func BenchmarkBytesOfKeepAlive(b *testing.B) {
	var m byteMeter
	_, c := open(b, func(to string) string { return m.open(b, to) }, platform.Options{})
	id, err := c.Grant(b.Context(), time.Hour)
	if err != nil {
		b.Fatal(err)
	}
	before := m.bytes.Load()
	for b.Loop() {
		if err := c.KeepAlive(b.Context(), id); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(m.bytes.Load()-before)/float64(b.N), "B/call")
}
