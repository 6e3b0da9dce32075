package soak

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/platform/platformtest"
)

const (
	// cutContact is how long after the begin and the end of a cut nothing is counted.
	cutContact = 4 * time.Second
	cutCounted = 5 * time.Second
	// cutCallers are those of each VM.
	cutCallers = 3
	cutPause   = 20 * time.Millisecond
	// cutServed of a hundred first tries are to be served at VMs that are cut, and cutOthers at others.
	cutServed = 95
	cutOthers = 99
	// refusalTime is how long a refusal may take where no VM reaches a target.
	refusalTime = 250 * time.Millisecond
)

// cutCase is a kind of request, and a cut of VMs from all targets.
type cutCase struct {
	name string
	mode mode
	// cut are the indices of the VMs, of four: 0 and 3 are in one failure domain, 1 in another one of the
	// region, 2 in another region.
	cut    []int
	method string
	path   string
	body   string
	// mixed is set if every second request is an order.
	mixed bool
	// callers are those of each VM, cutCallers if 0. prefix begins the IDs of requests, "cut" if empty.
	callers int
	prefix  string
	// keyed is set if requests have affinity keys; key is that of their client account.
	keyed bool
	key   string
}

// Guards against VMs that refuse or fail requests since they reach no target, although other VMs do.
func TestVMsCutFromAllTargetsServe(t *testing.T) {
	program := buildEntry(t)
	large := strings.Repeat("x", 200<<10)
	for _, c := range []cutCase{
		{name: "one silent", mode: silent, cut: []int{0}, method: "POST", path: "/order/"},
		{name: "one severed", mode: severed, cut: []int{0}, method: "POST", path: "/order/"},
		{name: "one refused anew", mode: refuse, cut: []int{0}, method: "POST", path: "/order/"},
		{name: "domain severed", mode: severed, cut: []int{0, 3}, method: "POST", path: "/order/", keyed: true},
		{name: "region silent", mode: silent, cut: []int{0, 1, 3}, method: "GET", path: "/look/", keyed: true},
		{name: "three severed", mode: severed, cut: []int{0, 1, 2}, method: "GET", path: "/look/"},
		{name: "one silent with uploads", mode: silent, cut: []int{2}, method: "POST", path: "/upload/", body: large},
		{name: "all severed", mode: severed, cut: []int{0, 1, 2, 3}, method: "POST", path: "/order/"},
		{name: "all silent", mode: silent, cut: []int{0, 1, 2, 3}, method: "POST", path: "/order/"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.run(t, program)
		})
	}
}

func (c cutCase) run(t *testing.T, program string) {
	w := newWorld(t, program, 1)
	w.version++
	w.must(w.operator.Configure(w.version, []platformtest.Route{
		{Name: "look", Host: host, Prefix: "/look/", Kind: platformtest.Safe, Service: "s1"},
		{Name: "order", Host: host, Prefix: "/order/", Kind: platformtest.NonIdempotent, Service: "s0"},
		{Name: "upload", Host: host, Prefix: "/upload/", Kind: platformtest.Upload, Service: "s0"},
	}, "s0", "s1"))
	w.waitServing("before the cut")
	l := c.startLoad(w)
	time.Sleep(time.Second)
	c.setMode(w, c.mode)
	time.Sleep(cutContact)
	l.next()
	time.Sleep(cutCounted)
	during := l.next()
	c.setMode(w, pass)
	time.Sleep(cutContact)
	l.next()
	time.Sleep(cutCounted / 2)
	after := l.next()
	l.stop()
	c.check(t, during, after)
	c.checkRuns(w, l)
	c.checkServedByThemselves(t, w, l)
}

func (c cutCase) setMode(w *world, m mode) {
	for _, i := range c.cut {
		for _, p := range w.paths {
			p.cut(w.processes[i].vm.Name, m)
		}
	}
}

// check compares the first tries at VMs that are cut with those at others.
func (c cutCase) check(t *testing.T, during, after []try) {
	t.Helper()
	atCut, atOthers := c.split(during)
	t.Logf("during the cut: cut VMs %s; others %s", summary(atCut), summary(atOthers))
	returned, _ := c.split(after)
	t.Logf("after it: %s", summary(returned))
	if len(c.cut) == 4 {
		c.checkRefusals(t, atCut)
	} else if n := served(atCut); 100*n < cutServed*len(atCut) || len(atCut) == 0 {
		t.Errorf("served %d of %d first tries at VMs that are cut", n, len(atCut))
	}
	if n := served(atOthers); 100*n < cutOthers*len(atOthers) {
		t.Errorf("served %d of %d first tries at other VMs", n, len(atOthers))
	}
	if n := served(returned); 100*n < cutOthers*len(returned) || len(returned) == 0 {
		t.Errorf("served %d of %d first tries after the cut", n, len(returned))
	}
}

// checkRefusals checks that callers are refused at once and told when to return: if it took longer on
// average, they would have had fewer tries.
func (c cutCase) checkRefusals(t *testing.T, tries []try) {
	t.Helper()
	least := len(c.cut) * cutCallers * int(cutCounted/(refusalTime+cutPause))
	told := 0
	for _, one := range tries {
		if one.status == http.StatusServiceUnavailable && one.retryAfter > 0 {
			told++
		}
	}
	if len(tries) < least || 100*told < cutServed*len(tries) {
		t.Errorf("%d tries, %d of them refused with Retry-After; at least %d wanted", len(tries), told, least)
	}
}

func (c cutCase) split(tries []try) (atCut, atOthers []try) {
	for _, one := range tries {
		if slices.Contains(c.cut, one.vm) {
			atCut = append(atCut, one)
		} else {
			atOthers = append(atOthers, one)
		}
	}
	return atCut, atOthers
}

// checkRuns checks that no request ran twice that must not, and none that was refused as not run.
func (c cutCase) checkRuns(w *world, l *cutLoad) {
	w.t.Helper()
	for _, one := range l.all {
		runs := len(w.ledger.Executions(one.id))
		if c.method == "POST" && runs > 1 {
			w.t.Errorf("%s ran %d times", one.id, runs)
		}
		if c.method == "POST" && isPromise(one.status) && runs > 0 {
			w.t.Errorf("%s was answered %d and ran", one.id, one.status)
		}
		if one.status == http.StatusOK && (runs == 0 || one.answer != platformtest.ResponseBody(one.id)) {
			w.t.Errorf("%s got another answer: %+v", one.id, one)
		}
	}
}

// checkServedByThemselves checks that targets hear of VMs that were cut without another VM between.
func (c cutCase) checkServedByThemselves(t *testing.T, w *world, l *cutLoad) {
	t.Helper()
	for _, i := range c.cut {
		name := w.processes[i].vm.Name
		open := 0
		for _, p := range w.paths {
			open += p.openOf(name)
		}
		if open == 0 {
			t.Errorf("%s has no connection to a target after the cut", name)
		}
	}
}

// try is one first try of a caller.
type try struct {
	vm         int
	id, answer string
	status     int
	retryAfter float64
	// at is when the request was sent.
	at   time.Time
	took time.Duration
}

func served(tries []try) (n int) {
	for _, one := range tries {
		if one.status == http.StatusOK {
			n++
		}
	}
	return n
}

func summary(tries []try) string {
	if len(tries) == 0 {
		return "none"
	}
	statuses := make(map[int]int)
	var times []time.Duration
	for _, one := range tries {
		statuses[one.status]++
		times = append(times, one.took)
	}
	slices.Sort(times)
	return fmt.Sprintf("%d of %d served, by status %v, median %s, 95 of 100 within %s", served(tries), len(tries), statuses,
		times[len(times)/2].Round(time.Millisecond), times[len(times)*95/100].Round(time.Millisecond))
}

// cutLoad is the callers of all VMs.
type cutLoad struct {
	c     cutCase
	stop  func()
	mu    sync.Mutex
	all   []try
	since int
}

func (c cutCase) startLoad(w *world) *cutLoad {
	l := &cutLoad{c: c}
	done := make(chan struct{})
	var all sync.WaitGroup
	for vm, p := range w.processes {
		for n := range cmp.Or(c.callers, cutCallers) {
			all.Go(func() { l.call(vm, n, p.vm, done) })
		}
	}
	l.stop = sync.OnceFunc(func() { close(done); all.Wait() })
	return l
}

// next returns the tries that ended since the last call.
func (l *cutLoad) next() []try {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := l.all[l.since:]
	l.since = len(l.all)
	return list
}

// call sends one request after the other to one VM, on a connection that it keeps while it lives.
func (l *cutLoad) call(vm, n int, settings platformtest.VMSettings, done <-chan struct{}) {
	var conn net.Conn
	var reader *bufio.Reader
	for i := 0; ; i++ {
		select {
		case <-done:
			if conn != nil {
				_ = conn.Close()
			}
			return
		case <-time.After(cutPause):
		}
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", settings.Entry, dialTime); err != nil {
				conn = nil
				continue
			}
			reader = bufio.NewReader(conn)
		}
		one := try{vm: vm, id: fmt.Sprintf("%s-%d-%d-%d", cmp.Or(l.c.prefix, "cut"), vm, n, i), at: time.Now()}
		if !l.ask(conn, reader, settings.Name, &one, i) {
			_ = conn.Close()
			conn = nil
		}
		one.took = time.Since(one.at)
		l.mu.Lock()
		l.all = append(l.all, one)
		l.mu.Unlock()
	}
}

// ask sends one request and returns whether the connection may be used again.
func (l *cutLoad) ask(conn net.Conn, reader *bufio.Reader, name string, one *try, i int) bool {
	affinity := ""
	if l.c.keyed {
		affinity = strconv.Itoa(i % 20)
	}
	method, path := l.c.method, l.c.path
	if l.c.mixed && i%2 == 1 {
		method, path = http.MethodPost, "/order/"
	}
	call := platformtest.Call{
		VM: name, Host: host, Method: method, Path: path + one.id, ID: one.id, Key: l.c.key, Affinity: affinity, Body: l.c.body, Timeout: callTime,
	}
	_ = conn.SetDeadline(time.Now().Add(callTime + dialTime))
	if _, err := io.WriteString(conn, call.Text()); err != nil {
		return false
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return false
	}
	one.status, one.answer = resp.StatusCode, string(body)
	one.retryAfter, _ = strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return !resp.Close
}
