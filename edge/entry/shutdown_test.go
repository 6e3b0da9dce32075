package entry_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/site"
)

// order sends an order with a deadline of 20 s; the status is 0 if its connection ends without an answer.
func order(address, id string) int {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0
	}
	defer c.Close()
	fmt.Fprintf(c, "POST /p/x HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\nX-Deadline: 20000\r\nContent-Length: 5\r\n\r\norder", id)
	status, _ := readResponse(c)
	return status
}

// Guards against orders that no target has got and whose connections end without an answer with the grace period: the
// targets are busy for longer, so the orders still wait. Those at a target are cut.
func TestWaitingOrdersAreAnsweredBeforeTheGraceEnds(t *testing.T) {
	const orders, slots = 12, 4
	f := newFleet(t)
	f.put("config", site.Config{
		Version: 1, Services: map[string]site.Service{"s": {Name: "s", HealthPath: "/health"}},
		Routes: []site.Route{{
			Name: "r", Host: "h", Prefix: "/p/", Timeout: 20 * time.Second, Objective: 20 * time.Second, MaxAttempts: 2,
			Services: []site.WeightedService{{Service: "s", Weight: 1}},
		}},
		Limits: site.Limits{HeaderBytes: 8192, BodyBytes: 1 << 20, HeaderTime: time.Second, IdleTime: time.Minute},
	})
	vm := f.start("a", "n1", f.kv)
	waitFor(t, "the VM never served", respondsWith(vm.options.EntryAddress, "/p/x", http.StatusOK))
	f.mu.Lock()
	f.work, f.served = 10*time.Second, 0
	f.mu.Unlock()
	var all sync.WaitGroup
	var mu sync.Mutex
	statuses := make(map[int]int)
	for i := range orders {
		all.Go(func() {
			status := order(vm.options.EntryAddress, fmt.Sprint(i))
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
		})
	}
	waitFor(t, "the target never got an order", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.served > 0
	})
	vm.Shutdown()
	all.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	if statuses[0] > f.served || statuses[http.StatusServiceUnavailable] != orders-f.served {
		t.Errorf("orders by status: %v, %d at the target", statuses, f.served)
	}
}
