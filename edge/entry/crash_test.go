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
	// crashMark in a path ends each target that begins to run the request.
	crashMark = "crash"
	// spreadTime is how long after its third target ended a request may still reach targets
	// because VMs have not heard of it, maxLater how often it may reach them after that.
	spreadTime = 3 * time.Second
	maxLater   = 3
	// downTime is how long a target is away that has ended, crashAfter how long it runs.
	downTime   = 300 * time.Millisecond
	crashAfter = 20 * time.Millisecond
)

// crashes are targets that end under some requests and come back under new IDs. They are the
// only ones of their fleet.
type crashes struct {
	*fleet
	mu sync.Mutex
	// starts counts the starts of targets.
	starts int
	// arrived is when each request with the mark reached a target, by its content.
	arrived map[string][]time.Time
	// thirdEnd is when the third target ended under a request.
	thirdEnd map[string]time.Time
	ends     map[string]int
}

func newCrashes(f *fleet, targets int) *crashes {
	c := &crashes{fleet: f, arrived: map[string][]time.Time{}, thirdEnd: map[string]time.Time{}, ends: map[string]int{}}
	c.remove("target/a")
	for i := range targets {
		c.startTarget([]string{"n1", "n2", "s1"}[i%3])
	}
	return c
}

// startTarget runs a target until a request ends it, and starts another one in its place.
func (c *crashes) startTarget(zone string) {
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
			time.AfterFunc(downTime, func() {
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

// remove takes a target off the store's list, as the end of its lease does.
func (c *crashes) remove(key string) {
	e, err := c.kv.Get(context.Background(), key)
	if err == nil {
		err = c.kv.Delete(context.Background(), key, e.Revision)
	}
	if err != nil {
		c.t.Errorf("%s not removed: %v", key, err)
	}
}

func (c *crashes) serve(ctx context.Context, conn net.Conn, crash func()) {
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

// run ends the target a moment after it has begun a request.
func (c *crashes) run(ctx context.Context, content string, crash func()) {
	c.mu.Lock()
	c.arrived[content] = append(c.arrived[content], time.Now())
	c.mu.Unlock()
	time.Sleep(crashAfter)
	if ctx.Err() != nil {
		return
	}
	crash()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ends[content]++
	if c.ends[content] == quarantineAfter {
		c.thirdEnd[content] = time.Now()
	}
}

// quarantineAfter is how many targets a request may end.
const quarantineAfter = 3

// later returns how often a request reached targets when all VMs should have known of it.
func (c *crashes) later(content string) (n int, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	third, known := c.thirdEnd[content]
	for _, at := range c.arrived[content] {
		if known && at.After(third.Add(spreadTime)) {
			n++
		}
	}
	return n, known
}

// post sends a request with a body and returns status 0 if the VM cannot be reached.
func post(address, path, body string) (int, string) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, ""
	}
	defer c.Close()
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Deadline: 5000\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
	return answerOn(c)
}

// repeat sends requests that end their targets to VMs in turn until all VMs should know of
// them, and for as long again.
func (c *crashes) repeat(vms []*vm, requests map[string]func(address string)) {
	var all sync.WaitGroup
	for content, send := range requests {
		all.Go(func() {
			for i := 0; ; i++ {
				send(vms[i%len(vms)].options.EntryAddress)
				c.mu.Lock()
				third, known := c.thirdEnd[content]
				c.mu.Unlock()
				if known && time.Since(third) > 2*spreadTime {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	all.Wait()
}

// Guards against requests that end every target that runs them and come again at any VM,
// one that has just started among them.
func TestRequestsThatEndTargetsAreKeptFromThem(t *testing.T) {
	f := newFleet(t)
	c := newCrashes(f, 12)
	f.configure(1, "/p/")
	vms := []*vm{f.start("a", "n1", f.kv), f.start("b", "n2", f.kv), f.start("c", "s1", f.kv)}
	for _, v := range vms {
		until(t, "never served", is(v.options.EntryAddress, "/p/x", http.StatusOK))
	}
	requests := map[string]func(string){
		"/p/" + crashMark + "/1":     func(address string) { get(address, "/p/"+crashMark+"/1") },
		"/p/" + crashMark + "/2?a=b": func(address string) { get(address, "/p/"+crashMark+"/2?a=b") },
		"/p/" + crashMark + "/3body": func(address string) { post(address, "/p/"+crashMark+"/3", "body") },
	}
	c.repeat(vms, requests)
	vms[0].Close()
	joined := f.start("d", "n1", f.kv)
	until(t, "the new VM never served", is(joined.options.EntryAddress, "/p/x", http.StatusOK))
	for content, send := range requests {
		send(joined.options.EntryAddress)
		send(joined.options.EntryAddress)
		if n, known := c.later(content); n > maxLater || !known {
			t.Errorf("%s reached targets %d times when all VMs should have known of it, %d allowed", content, n, maxLater)
		}
	}
	for _, v := range []*vm{vms[1], vms[2], joined} {
		if status, _ := get(v.options.EntryAddress, "/p/other"); status != http.StatusOK {
			t.Errorf("%s answers %d to another request", v.options.VM.Name, status)
		}
	}
}

// cuttable is the path of one VM to the store.
type cuttable struct {
	store.KV
	cut atomic.Bool
}

func (c *cuttable) Watch(ctx context.Context, prefix string, after store.Revision) (store.Batch, error) {
	if c.cut.Load() {
		return store.Batch{}, store.ErrUnavailable
	}
	return c.KV.Watch(ctx, prefix, after)
}

func (c *cuttable) KeepAlive(ctx context.Context, lease store.LeaseID) error {
	if c.cut.Load() {
		return store.ErrUnavailable
	}
	return c.KV.KeepAlive(ctx, lease)
}

func (c *cuttable) Swap(ctx context.Context, key string, value []byte, expected store.Revision, lease store.LeaseID) (store.Revision, error) {
	if c.cut.Load() {
		return 0, store.ErrUnavailable
	}
	return c.KV.Swap(ctx, key, value, expected, lease)
}

// The same in a region whose VMs learn of each other by digests, with requests that other VMs
// decide on, and a VM that is cut off from the store.
func TestRequestsThatEndTargetsInALargeRegion(t *testing.T) {
	f := newFleet(t)
	c := newCrashes(f, 12)
	f.configure(1, "/p/")
	var vms []*vm
	for i := range 10 {
		vms = append(vms, f.start(fmt.Sprint("vm-", i), "n1", f.kv))
	}
	path := &cuttable{KV: f.kv}
	vms = append(vms, f.start("far", "s1", f.kv), f.start("cut", "s1", path))
	for _, v := range vms {
		until(t, v.options.VM.Name+" never served", is(v.options.EntryAddress, "/p/x", http.StatusOK))
	}
	path.cut.Store(true)
	const bad = "/p/" + crashMark
	c.repeat(vms, map[string]func(string){bad: func(address string) { getKey(address, bad, "key") }})
	if n, known := c.later(bad); n > maxLater || !known {
		t.Errorf("it reached targets %d times when all VMs should have known of it, %d allowed", n, maxLater)
	}
	for _, v := range vms {
		if status, body := getKey(v.options.EntryAddress, bad, "key"); status != http.StatusServiceUnavailable || !strings.Contains(body, "quarantined") {
			t.Errorf("%s answers %d %q", v.options.VM.Name, status, body)
		}
	}
}
