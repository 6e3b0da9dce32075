package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/platform/platformtest"
)

const (
	troubledSeed = 13000
	// refusalRate and copyRate are those of the targets of s1; they are high so that refusals are widespread.
	refusalRate = 0.4
	copyRate    = 0.2
	// lateRead is how long the targets of s0 work on a head before they read the body.
	lateRead = 1300 * time.Millisecond
	// downloadBytes are more than the receive buffer of a caller and less than what the kernel of a VM holds.
	downloadBytes = 540_000
	uploadBytes   = 360_000
	// lineStep bytes in each lineTime are what a caller's line carries.
	lineStep = 32 << 10
	lineTime = 13 * time.Millisecond
	// lineBuffer is the receive buffer of their connections, in bytes.
	lineBuffer = 64 << 10
	// patience is the deadline of uploads and downloads.
	patience = 5 * time.Second
	// troubledCallers are callers of each kind.
	troubledCallers = 6
)

// Targets refuse many requests, send some refusals twice, and read bodies when their work is done; callers send
// requests behind a download that they read slowly; VMs are stopped as planned, one after the other, meanwhile.
func TestSoakOfTroubledConnections(t *testing.T) {
	program := buildEntry(t)
	for i := range *seeds {
		seed := troubledSeed + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { soakTroubledConnections(t, program, seed) })
	}
}

func soakTroubledConnections(t *testing.T, program string, seed uint64) {
	w := newWorld(t, program, seed)
	w.version++
	w.must(w.operator.Configure(w.version, []platformtest.Route{
		{Name: "look", Host: host, Prefix: "/look/", Kind: platformtest.Download, Service: "s0"},
		{Name: "upload", Host: host, Prefix: "/upload/", Kind: platformtest.Upload, Service: "s0"},
		{Name: "order", Host: host, Prefix: "/order/", Kind: platformtest.NonIdempotent, Service: "s1"},
	}, "s0", "s1"))
	for _, target := range w.targets {
		// A proxy on the path would read for a target that does not.
		w.must(w.operator.Register(target, target.Address(), false))
	}
	w.waitServing("before any trouble")
	for i, target := range w.targets {
		if i%2 == 0 {
			target.SetReadDelay(lateRead)
			target.SetResponseBytes(downloadBytes)
		} else {
			target.SetRefusals(refusalRate, copyRate)
		}
	}
	s := &troubled{w: w, statuses: make(map[string]int)}
	seen := &journal{began: w.timeline.began}
	ctx, stop := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for i := range troubledCallers {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		orders := &caller{name: fmt.Sprint("order-", i), random: random, vms: w.processes, journal: seen}
		all.Go(func() {
			for ctx.Err() == nil {
				orders.sent++
				seen.add(orders.ask(fmt.Sprintf("%s-%d", orders.name, orders.sent), true))
			}
			orders.drop()
		})
		all.Go(func() { s.repeat(ctx, fmt.Sprint("upload-", i), s.upload) })
		all.Go(func() { s.repeat(ctx, fmt.Sprint("download-", i), s.download) })
	}
	for range max(2, *seconds/3) {
		time.Sleep(lateRead)
		w.planned()
	}
	stop()
	all.Wait()
	w.checkOrders(seen)
	t.Logf("%v", s.statuses)
	if s.statuses["upload 200"] == 0 || s.statuses["download 200"] == 0 {
		t.Error("no uploads or no downloads were answered")
	}
}

// checkOrders reports orders that ran twice, or ran and were answered as not run.
func (w *world) checkOrders(seen *journal) {
	w.t.Helper()
	counts := map[int]int{}
	for _, o := range seen.all {
		runs := w.ledger.Executions(o.id)
		counts[o.status]++
		if len(runs) > 1 || isPromise(o.status) && len(runs) > 0 {
			w.t.Errorf("order %s was answered %d and ran %d times", o.id, o.status, len(runs))
		}
	}
	w.t.Logf("orders by status: %v", counts)
	if counts[http.StatusOK] == 0 || counts[http.StatusServiceUnavailable] == 0 {
		w.t.Error("no orders were served, or none refused")
	}
}

// troubled are callers of uploads and downloads.
type troubled struct {
	w        *world
	mu       sync.Mutex
	statuses map[string]int
}

func (s *troubled) count(kind string, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statuses[fmt.Sprint(kind, " ", status)]++
}

// repeat calls send with a new connection each time.
func (s *troubled) repeat(ctx context.Context, name string, send func(c net.Conn, id string)) {
	for n := 0; ctx.Err() == nil; n++ {
		named := resolve(s.w.processes[rand.IntN(len(s.w.processes))].vm)
		if len(named) == 0 {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		conn, err := net.DialTimeout("tcp", named[rand.IntN(len(named))], dialTime)
		if err != nil {
			continue
		}
		_ = conn.(*net.TCPConn).SetReadBuffer(lineBuffer)
		_ = conn.SetDeadline(time.Now().Add(2 * patience))
		send(conn, fmt.Sprintf("%s-%d", name, n))
		_ = conn.Close()
	}
}

// arrived reports whether a request has reached a target.
func (s *troubled) arrived(id string) bool {
	for _, target := range s.w.targets {
		for _, a := range target.Arrivals() {
			if a.ID == id {
				return true
			}
		}
	}
	return false
}

// check reports a request that a target works on and whose answer is not that of the target.
func (s *troubled) check(kind, id string, status int, err error) {
	s.count(kind, status)
	if err != nil && status != 0 {
		s.w.t.Errorf("%s: the answer %d is cut: %v", id, status, err)
	}
	if status != http.StatusOK && !isPromise(status) && s.arrived(id) {
		s.w.t.Errorf("%s ended with %d (%v) while a target had it", id, status, err)
	}
}

func (s *troubled) upload(conn net.Conn, id string) {
	call := platformtest.Call{Host: host, Method: http.MethodPost, Path: "/upload/" + id, ID: id, Timeout: patience, Body: strings.Repeat("x", uploadBytes)}
	if _, err := io.WriteString(conn, call.Text()); err != nil {
		return
	}
	status, _, err := readSlowly(bufio.NewReader(conn))
	s.check("upload", id, status, err)
}

// download asks for a large body, and for another one behind it about when the first is written.
func (s *troubled) download(conn net.Conn, id string) {
	call := platformtest.Call{Host: host, Method: http.MethodGet, Path: "/look/" + id, ID: id, Timeout: patience}
	if _, err := io.WriteString(conn, call.Text()); err != nil {
		return
	}
	behind := call
	behind.Path, behind.ID = call.Path+"-b", id+"-b"
	timer := time.AfterFunc(lateRead+rand.N(200*time.Millisecond), func() { _, _ = io.WriteString(conn, behind.Text()) })
	defer timer.Stop()
	reader := bufio.NewReader(conn)
	status, last, err := readSlowly(reader)
	s.check("download", id, status, err)
	if last || err != nil || timer.Stop() {
		return
	}
	status, _, err = readSlowly(reader)
	if err != nil && status != 0 {
		s.w.t.Errorf("%s: the answer %d is cut: %v", behind.ID, status, err)
	}
}

// readSlowly reads an answer as a line carries it. The status is 0 without an answer.
func readSlowly(reader *bufio.Reader) (status int, last bool, err error) {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, true, err
	}
	for {
		if _, err = io.CopyN(io.Discard, resp.Body, lineStep); err == io.EOF {
			return resp.StatusCode, resp.Close, nil
		} else if err != nil {
			return resp.StatusCode, true, err
		}
		time.Sleep(lineTime)
	}
}
