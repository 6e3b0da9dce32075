package soak

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/yuccaroute/yuccaroute/platform/platformtest"
)

const (
	host = "shop.example"
	// callTime is the callers' deadline.
	callTime = 2 * time.Second
	// refusedPause is how long a caller waits after 401 and 429.
	refusedPause = 20 * time.Millisecond
	// dialTime bounds connecting to a VM.
	dialTime = 500 * time.Millisecond
)

// outcome is what a caller saw of one request.
type outcome struct {
	id, key string
	// affinity is the caller's affinity key, "" if it has none.
	affinity string
	order    bool
	status   int // 0: no answer
	own      bool
	body     string
	// retryAfter is in seconds, 0 if the answer has none.
	retryAfter float64
	// at is the time of the answer since the start of the run, took that since the
	// request.
	at, took time.Duration
}

// leaving is a response that a VM has passed on, of a target that says that it leaves.
type leaving struct {
	vm, target    string
	startedMillis int64
	at            time.Time
}

// journal collects what all callers saw.
type journal struct {
	began    time.Time
	mu       sync.Mutex
	all      []outcome
	leavings []leaving
}

func (j *journal) addLeaving(l leaving) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.leavings = append(j.leavings, l)
}

func (j *journal) add(o outcome) {
	j.mu.Lock()
	defer j.mu.Unlock()
	o.at = time.Since(j.began)
	j.all = append(j.all, o)
}

// outcomes returns what callers saw up to now.
func (j *journal) outcomes() []outcome {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.all)
}

// caller sends one request after the other, mostly on a connection that it keeps.
type caller struct {
	name    string
	random  *rand.Rand
	vms     []*process
	journal *journal
	conn    net.Conn
	reader  *bufio.Reader
	// vm is the name of the VM that conn is to.
	vm   string
	sent int
	// key is the key of its client account, "" for none.
	key string
	// path is the last part of all its paths, "" for the ID of each request.
	path string
	// affinity is its affinity key, "" for one by the length of each ID, orders the prefix of the paths of
	// its orders, "/order/" if empty, and timeout its deadline, callTime if 0.
	affinity, orders string
	timeout          time.Duration
}

func (c *caller) deadline() time.Duration { return cmp.Or(c.timeout, callTime) }

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.sent++
		order := c.random.IntN(2) == 0
		asked := time.Now()
		o := c.ask(fmt.Sprintf("%s-%d", c.name, c.sent), order)
		o.took = time.Since(asked)
		c.journal.add(o)
		if o.status == http.StatusUnauthorized || o.status == http.StatusTooManyRequests {
			time.Sleep(refusedPause)
		}
	}
	c.drop()
}

// connect asks some VM's directory and connects to a VM that it names.
func (c *caller) connect() bool {
	if c.conn != nil && c.random.IntN(8) > 0 {
		return true
	}
	c.drop()
	vm := c.vms[c.random.IntN(len(c.vms))].vm
	entry := vm.Entry
	if addresses := resolve(vm); len(addresses) > 0 {
		entry = addresses[c.random.IntN(len(addresses))]
	}
	conn, err := net.DialTimeout("tcp", entry, dialTime)
	if err != nil {
		time.Sleep(10 * time.Millisecond)
		return false
	}
	c.conn, c.reader, c.vm = conn, bufio.NewReader(conn), ""
	for _, p := range c.vms {
		if p.vm.Entry == entry {
			c.vm = p.vm.Name
		}
	}
	return true
}

func (c *caller) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func resolve(vm platformtest.VMSettings) []string {
	client := &http.Client{Timeout: dialTime, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + vm.Directory + platformtest.ResolvePath(host, vm.Region, vm.Zone))
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return nil
	}
	addresses, err := platformtest.ParseAddresses(text)
	if err != nil {
		return nil
	}
	return addresses
}

// ask sends one request and returns what was seen of it.
func (c *caller) ask(id string, order bool) outcome { return c.askWithin(id, order, c.deadline()) }

// askWithin sends one request with a deadline.
func (c *caller) askWithin(id string, order bool, deadline time.Duration) outcome {
	o := outcome{id: id, key: c.key, affinity: c.affinity, order: order}
	if !c.connect() {
		return o
	}
	last := c.path
	if last == "" {
		last = id
	}
	method, path := http.MethodGet, "/look/"+last
	if order {
		method, path = http.MethodPost, cmp.Or(c.orders, "/order/")+last
	}
	_ = c.conn.SetDeadline(time.Now().Add(callTime + dialTime))
	call := platformtest.Call{
		VM: c.vm, Host: host, Method: method, Path: path, ID: id, Key: c.key,
		Affinity: cmp.Or(c.affinity, strconv.Itoa(len(id)%affinityKeys)), Timeout: deadline,
	}
	if _, err := io.WriteString(c.conn, call.Text()); err != nil {
		c.drop()
		return o
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.drop()
		return o
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.drop()
		return o
	}
	if target, started := platformtest.LeavingTarget(resp.Header); target != "" {
		c.journal.addLeaving(leaving{vm: c.vm, target: target, startedMillis: started, at: time.Now()})
	}
	o.status, o.body, o.own = resp.StatusCode, string(body), platformtest.HasStamp(resp.Header, id)
	o.retryAfter, _ = strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if resp.Close {
		c.drop()
	}
	return o
}
