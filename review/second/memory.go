package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["slow-readers"] = slowReaders }

const (
	readers     = 200
	reportBytes = 2 << 20
	// readerPause and readerStep are the pace of a client that reads slowly: 320 KB a second.
	readerPause = 50 * time.Millisecond
	readerStep  = 16 << 10
	// reportDeadline is the time that clients wait for the whole answer.
	reportDeadline = 40 * time.Second
)

// slowReaders: LOST. Clients with kept connections download reports and read them slowly. The platform kills a process
// that exceeds memory_mb, which counts as running all the while; requests that it passed on end without an answer.
func slowReaders(w *world) (bool, error) {
	w.fleet.zones = map[string]string{"zagreb-a": "zagreb"}
	v := w.fleet.add("zagreb-a", w.store.address)
	work := func(route string) (time.Duration, int) {
		if route == "/ledger/" {
			return 20 * time.Millisecond, 400
		}
		return 200*time.Millisecond + rand.N(400*time.Millisecond), reportBytes
	}
	if err := w.addTargets("report-svc", "zagreb-a", 12, 5, work); err != nil {
		return false, err
	}
	w.store.put("op/config", config(7, []string{"report-svc"},
		[]any{"r-1", "ficu95.example", "/export/", "download", 12, 4, 1, "report-svc", 2, true, nil, nil},
		[]any{"r-2", "ficu95.example", "/ledger/", "safe", 2, 0.4, 1, "report-svc", 2, true, nil, nil}))
	if err := w.fleet.start(v); err != nil {
		return false, err
	}
	if err := w.fleet.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var exceeded atomic.Int64
	stop := make(chan struct{})
	go enforceMemory(w, v, &exceeded, stop)
	// Each client uses its connection for a short look-up first, so that it is a kept one.
	var clients sync.WaitGroup
	begin := make(chan struct{})
	var ready sync.WaitGroup
	for i := range readers {
		ready.Add(1)
		clients.Go(func() { readReport(w, v, i, &ready, begin) })
	}
	ready.Wait()
	w.note("%d clients ask for a report of %d bytes each, %d MB in all", readers, reportBytes, readers*reportBytes>>20)
	close(begin)
	clients.Wait()
	close(stop)
	return judgeLost(w, exceeded.Load()), nil
}

// readReport sends a look-up and then asks for a report over the same connection.
func readReport(w *world, v *vm, i int, ready *sync.WaitGroup, begin <-chan struct{}) {
	c := &caller{address: v.front, calls: w.calls, deadline: reportDeadline, smallWindow: true}
	defer c.close()
	for n := range 5 {
		if s := c.do(http.MethodGet, "ficu95.example", fmt.Sprintf("/ledger/%d", i), fmt.Sprintf("a%d%014x", n, i), fmt.Sprint(i)); s.status == http.StatusOK && c.nc != nil {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	ready.Done()
	<-begin
	if c.nc == nil {
		return
	}
	if w.trouble {
		c.reader = bufio.NewReader(slowReader{c.nc})
	}
	c.do(http.MethodGet, "ficu95.example", fmt.Sprintf("/export/%d", i), fmt.Sprintf("b%015x", i), fmt.Sprint(i))
}

// slowReader reads a small part and pauses.
type slowReader struct{ from io.Reader }

func (s slowReader) Read(p []byte) (int, error) {
	time.Sleep(readerPause)
	return s.from.Read(p[:min(len(p), readerStep)])
}

// enforceMemory kills the process of a VM that exceeds its memory, as the platform does.
func enforceMemory(w *world, v *vm, exceeded *atomic.Int64, stop <-chan struct{}) {
	limit, peak := int64(w.fleet.memoryMB)<<20, int64(0)
	for {
		select {
		case <-stop:
			w.note("%s held at most %d MB of its %d MB", v.name, peak>>20, limit>>20)
			return
		case <-time.After(20 * time.Millisecond):
		}
		held, err := residentBytes(v.process.Process.Pid)
		if err != nil {
			continue
		}
		peak = max(peak, held)
		if held > limit && exceeded.CompareAndSwap(0, held) {
			w.note("%s holds %d MB, its limit is %d MB: the platform kills it", v.name, held>>20, limit>>20)
			v.signal(syscall.SIGKILL)
		}
	}
}

var errNoStatus = errors.New("no resident size")

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmRSS:" {
			kb, err := strconv.ParseInt(fields[1], 10, 64)
			return kb << 10, err
		}
	}
	return 0, errNoStatus
}

// judgeLost applies LOST: requests of kept connections that were passed on to a sound server and whose connections were
// closed without a complete answer, more than three.
func judgeLost(w *world, exceeded int64) bool {
	ran := make(map[string]bool)
	for _, r := range w.runs.list() {
		ran[r.id] = r.done
	}
	lost, served, refused := 0, 0, 0
	for _, s := range w.calls.list() {
		switch {
		case !strings.HasPrefix(s.id, "b"):
		case s.err == nil && s.status == http.StatusOK:
			served++
		case s.err == nil:
			refused++
		case ran[s.id]:
			lost++
		}
	}
	w.note("reports: %d complete, %d refused or failed with an answer, %d passed on and then cut off; more than 3 break the rule", served, refused, lost)
	return exceeded > 0 && lost > 3
}
