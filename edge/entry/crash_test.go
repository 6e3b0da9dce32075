package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/site"
	"github.com/yuccaroute/yuccaroute/store"
)

const (
	// crashMark in a path makes the request crash every target that runs it.
	crashMark = "crash"
	// propagationTime is how long after its third crash a request may still reach targets,
	// maxLateArrivals how often it may do so afterwards.
	propagationTime = 3 * time.Second
	maxLateArrivals = 3
	// restartDelay is the time between a target's crash and its restart, crashDelay the
	// time for which it runs a crashing request.
	restartDelay = 300 * time.Millisecond
	crashDelay   = 20 * time.Millisecond
)

// crashingTargets is a fleet whose targets crash under marked requests and restart with new IDs.
type crashingTargets struct {
	*fleet
	mu sync.Mutex
	// starts numbers the targets.
	starts int
	// arrivals are the times at which each marked request reached a target, by content.
	arrivals map[string][]time.Time
	// thirdCrash is the time of each request's third crash.
	thirdCrash map[string]time.Time
	crashes    map[string]int
}

func newCrashingTargets(f *fleet, targets int) *crashingTargets {
	c := &crashingTargets{fleet: f, arrivals: map[string][]time.Time{}, thirdCrash: map[string]time.Time{}, crashes: map[string]int{}}
	c.remove("target/a")
	for i := range targets {
		c.startTarget([]string{"n1", "n2", "s1"}[i%3])
	}
	return c
}

// startTarget runs a target until a request crashes it, then starts a replacement.
func (c *crashingTargets) startTarget(zone string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Error(err)
		return
	}
	c.mu.Lock()
	c.starts++
	id := fmt.Sprint("crash-", c.starts)
	c.mu.Unlock()
	ctx, end := context.WithCancel(context.Background())
	c.t.Cleanup(end)
	var once sync.Once
	crash := func() {
		once.Do(func() {
			end()
			time.AfterFunc(restartDelay, func() {
				if c.t.Context().Err() == nil {
					c.remove("target/" + id)
					c.startTarget(zone)
				}
			})
		})
	}
	context.AfterFunc(ctx, func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			context.AfterFunc(ctx, func() { conn.Close() })
			go c.serve(ctx, conn, crash)
		}
	}()
	c.put("target/"+id, site.Target{ID: id, Service: "s", Address: l.Addr().String(), Zone: zone, Slots: 4})
}

// remove deletes a target's registration, as the expiry of its lease does.
func (c *crashingTargets) remove(key string) {
	e, err := c.kv.Get(context.Background(), key)
	if err == nil {
		err = c.kv.Delete(context.Background(), key, e.Revision)
	}
	if err != nil {
		c.t.Errorf("%s not removed: %v", key, err)
	}
}

func (c *crashingTargets) serve(ctx context.Context, conn net.Conn, crash func()) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if strings.Contains(r.RequestURI, crashMark) {
			c.run(ctx, r.RequestURI+string(body), crash)
			return
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Stamp: s\r\nContent-Length: 4\r\n\r\ndone", r.Header.Get("X-Id"))
	}
}

// run crashes the target shortly after it began the request.
func (c *crashingTargets) run(ctx context.Context, content string, crash func()) {
	c.mu.Lock()
	c.arrivals[content] = append(c.arrivals[content], time.Now())
	c.mu.Unlock()
	time.Sleep(crashDelay)
	if ctx.Err() != nil {
		return
	}
	crash()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes[content]++
	if c.crashes[content] == quarantineAfter {
		c.thirdCrash[content] = time.Now()
	}
}

// quarantineAfter is the number of crashes after which a request is quarantined.
const quarantineAfter = 3

// lateArrivals returns how often a request reached targets after propagationTime.
func (c *crashingTargets) lateArrivals(content string) (n int, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	third, known := c.thirdCrash[content]
	for _, at := range c.arrivals[content] {
		if known && at.After(third.Add(propagationTime)) {
			n++
		}
	}
	return n, known
}

// post sends a request with a body; the status is 0 if the VM cannot be reached.
func post(address, path, body string) (int, string) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, ""
	}
	defer c.Close()
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Deadline: 5000\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
	return readResponse(c)
}

// sendUntilKnown sends each request to the VMs in turn until twice the propagation time
// after its third crash.
func (c *crashingTargets) sendUntilKnown(vms []*vm, requests map[string]func(address string)) {
	var all sync.WaitGroup
	for content, send := range requests {
		all.Go(func() {
			for i := 0; ; i++ {
				send(vms[i%len(vms)].options.EntryAddress)
				c.mu.Lock()
				third, known := c.thirdCrash[content]
				c.mu.Unlock()
				if known && time.Since(third) > 2*propagationTime {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	all.Wait()
}

// Guards against a request that crashes one target after another because some VM, for
// example one that just started, does not know that it is quarantined.
func TestCrashingRequestsAreQuarantined(t *testing.T) {
	f := newFleet(t)
	c := newCrashingTargets(f, 12)
	f.configure(1, "/p/")
	vms := []*vm{f.start("a", "n1", f.kv), f.start("b", "n2", f.kv), f.start("c", "s1", f.kv)}
	for _, v := range vms {
		waitFor(t, "never served", respondsWith(v.options.EntryAddress, "/p/x", http.StatusOK))
	}
	requests := map[string]func(string){
		"/p/" + crashMark + "/1":     func(address string) { get(address, "/p/"+crashMark+"/1") },
		"/p/" + crashMark + "/2?a=b": func(address string) { get(address, "/p/"+crashMark+"/2?a=b") },
		"/p/" + crashMark + "/3body": func(address string) { post(address, "/p/"+crashMark+"/3", "body") },
	}
	c.sendUntilKnown(vms, requests)
	vms[0].Close()
	joined := f.start("d", "n1", f.kv)
	waitFor(t, "the new VM never served", respondsWith(joined.options.EntryAddress, "/p/x", http.StatusOK))
	for content, send := range requests {
		send(joined.options.EntryAddress)
		send(joined.options.EntryAddress)
		if n, known := c.lateArrivals(content); n > maxLateArrivals || !known {
			t.Errorf("%s reached targets %d times after the propagation time, %d allowed", content, n, maxLateArrivals)
		}
	}
	for _, v := range []*vm{vms[1], vms[2], joined} {
		if status, _ := get(v.options.EntryAddress, "/p/other"); status != http.StatusOK {
			t.Errorf("%s responds with %d to another request", v.options.VM.Name, status)
		}
	}
}

// disconnectable is a store client whose connection can be cut.
type disconnectable struct {
	store.KV
	disconnected atomic.Bool
}

func (c *disconnectable) Watch(ctx context.Context, prefix string, after store.Revision) (store.Batch, error) {
	if c.disconnected.Load() {
		return store.Batch{}, store.ErrUnavailable
	}
	return c.KV.Watch(ctx, prefix, after)
}

func (c *disconnectable) KeepAlive(ctx context.Context, lease store.LeaseID) error {
	if c.disconnected.Load() {
		return store.ErrUnavailable
	}
	return c.KV.KeepAlive(ctx, lease)
}

func (c *disconnectable) Swap(ctx context.Context, key string, value []byte, expected store.Revision, lease store.LeaseID) (store.Revision, error) {
	if c.disconnected.Load() {
		return 0, store.ErrUnavailable
	}
	return c.KV.Swap(ctx, key, value, expected, lease)
}

// The same in a large region, where VMs exchange digests and delegate requests, with one VM
// cut off from the store.
func TestCrashingRequestsAreQuarantinedInLargeRegion(t *testing.T) {
	f := newFleet(t)
	c := newCrashingTargets(f, 12)
	f.configure(1, "/p/")
	var vms []*vm
	for i := range 10 {
		vms = append(vms, f.start(fmt.Sprint("vm-", i), "n1", f.kv))
	}
	path := &disconnectable{KV: f.kv}
	vms = append(vms, f.start("far", "s1", f.kv), f.start("cut", "s1", path))
	for _, v := range vms {
		waitFor(t, v.options.VM.Name+" never served", respondsWith(v.options.EntryAddress, "/p/x", http.StatusOK))
	}
	path.disconnected.Store(true)
	const bad = "/p/" + crashMark
	c.sendUntilKnown(vms, map[string]func(string){bad: func(address string) { getWithKey(address, bad, "key") }})
	if n, known := c.lateArrivals(bad); n > maxLateArrivals || !known {
		t.Errorf("request reached targets %d times after the propagation time, %d allowed", n, maxLateArrivals)
	}
	for _, v := range vms {
		if status, body := getWithKey(v.options.EntryAddress, bad, "key"); status != http.StatusServiceUnavailable || !strings.Contains(body, "quarantined") {
			t.Errorf("%s responds with %d %q", v.options.VM.Name, status, body)
		}
	}
}
