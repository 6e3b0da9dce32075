package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/platform/platformtest"
)

const (
	// smallMemoryMB is the memory of the smallest VMs. The responses or bodies of all callers are several times
	// that, and one response is more than the kernel holds for a connection.
	smallMemoryMB = 136
	slowResponses = 150
	slowBytes     = 4 << 20
	slowUploads   = 1500
	slowUpload    = 400 << 10
	// slowStart is the time in which all callers begin, so that targets have slots for them.
	slowStart = 3 * time.Second
	// slowTime is how long callers do not read and targets do not read. Responses that a caller leaves unread
	// end after 15 s at a VM.
	slowTime = 6 * time.Second
	// slowTimeout is the time that callers have, in which targets do not read bodies for slowReadDelay.
	slowTimeout   = 4 * time.Second
	slowReadDelay = 2 * time.Second
	memoryPoll    = 20 * time.Millisecond
	// receiveBuffer is that of callers that do not read, in bytes: what the kernel holds is not in the VM's memory.
	receiveBuffer = 4 << 10
)

// Guards against a VM that ends, or fails other requests, since callers leave responses unread or targets leave
// bodies unread whose sum exceeds the VM's memory.
func TestSlowReadersStayWithinMemory(t *testing.T) {
	program := buildEntry(t)
	t.Run("callers leave responses unread", func(t *testing.T) {
		s := newSlowReaders(t, program)
		for _, target := range s.w.targets {
			target.SetResponseBytes(slowBytes)
		}
		s.run(slowResponses, platformtest.Call{Method: http.MethodGet, Path: "/look/"}, 0)
	})
	t.Run("targets leave bodies unread", func(t *testing.T) {
		s := newSlowReaders(t, program)
		for _, target := range s.w.targets {
			target.SetReadDelay(slowReadDelay)
		}
		s.run(slowUploads, platformtest.Call{Method: http.MethodPost, Path: "/upload/", Body: strings.Repeat("x", slowUpload)}, slowTime)
	})
}

// slowReaders are many callers of one VM.
type slowReaders struct {
	w  *world
	p  *process
	mu sync.Mutex
	// statuses counts answers by status, 0 for none. refused are the IDs of requests that were answered as not run.
	statuses map[int]int
	refused  []string
}

func newSlowReaders(t *testing.T, program string) *slowReaders {
	w := newWorldOf(t, program, 1, platformtest.VMSettings{MemoryMB: smallMemoryMB})
	w.version++
	w.must(w.operator.Configure(w.version, []platformtest.Route{
		{Name: "look", Host: host, Prefix: "/look/", Kind: platformtest.Safe, Service: "s1"},
		{Name: "order", Host: host, Prefix: "/order/", Kind: platformtest.NonIdempotent, Service: "s0"},
		{Name: "upload", Host: host, Prefix: "/upload/", Kind: platformtest.Upload, Service: "s0"},
	}, "s0", "s1"))
	w.waitServing("before slow readers")
	return &slowReaders{w: w, p: w.processes[0], statuses: make(map[int]int)}
}

// run lets all callers send their request, and read its answer after readFor; 0 leaves it unread for slowTime.
func (s *slowReaders) run(callers int, call platformtest.Call, readFor time.Duration) {
	s.w.t.Helper()
	pid := s.p.cmd.Process.Pid
	var all sync.WaitGroup
	for n := range callers {
		all.Go(func() {
			time.Sleep(slowStart * time.Duration(n) / time.Duration(callers))
			s.call(call, n, readFor)
		})
	}
	highest := s.watchMemory(slowTime)
	all.Wait()
	s.w.t.Logf("%d MB at most, answers by status %v", highest>>20, s.statuses)
	if highest > smallMemoryMB<<20 {
		s.w.t.Errorf("the VM used %d MB of memory, limit %d", highest>>20, smallMemoryMB)
	}
	select {
	case <-s.p.gone:
		s.w.t.Error("the process ended")
	default:
	}
	if s.p.cmd.Process.Pid != pid {
		s.w.t.Error("the process was started again")
	}
	for _, id := range s.refused {
		if runs := s.w.ledger.Executions(id); len(runs) > 0 {
			s.w.t.Errorf("%s was refused as not run and ran: %+v", id, runs)
		}
	}
	if len(s.refused) == 0 {
		s.w.t.Error("no request was refused, so the limits were not reached")
	}
	for _, target := range s.w.targets {
		target.SetReadDelay(0)
		target.SetResponseBytes(0)
	}
	s.w.waitServing("after slow readers")
}

// watchMemory returns the highest resident memory of the VM within a time, in bytes.
func (s *slowReaders) watchMemory(d time.Duration) (highest int) {
	s.w.t.Helper()
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(memoryPoll) {
		n, err := s.p.memory()
		s.w.must(err)
		highest = max(highest, n)
	}
	return highest
}

// call sends one request and reads its answer within readFor, or after slowTime if that is 0.
func (s *slowReaders) call(c platformtest.Call, n int, readFor time.Duration) {
	c.VM, c.Host, c.ID, c.Timeout = s.p.vm.Name, host, fmt.Sprintf("slow-%d", n), slowTimeout
	c.Path += c.ID
	status := 0
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.statuses[status]++
		if isPromise(status) {
			s.refused = append(s.refused, c.ID)
		}
	}()
	conn, err := net.DialTimeout("tcp", s.p.vm.Entry, dialTime)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.(*net.TCPConn).SetReadBuffer(receiveBuffer)
	_ = conn.SetDeadline(time.Now().Add(2 * slowTime))
	if _, err := io.WriteString(conn, c.Text()); err != nil {
		return
	}
	if readFor == 0 {
		time.Sleep(slowTime)
	}
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
		status = resp.StatusCode
	}
}
