package entry_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/loadview"
	"github.com/yuccaroute/yuccaroute/edge/placing"
)

// Guards against a load page that only one of the ports serves, that callers can read, or that lacks the
// load or the refusals of the VM.
func TestLoadPage(t *testing.T) {
	f := newFleet(t)
	f.policy = placing.Policy{RegionPlan: true}
	v := f.start("a", "n1", f.kv)
	f.configure(1, "/p/")
	waitFor(t, "never served", respondsWith(v.options.EntryAddress, "/p/x", http.StatusOK))
	if status, _ := get(v.options.EntryAddress, "/q/x"); status != http.StatusNotFound {
		t.Fatalf("%d without a route", status)
	}
	if status, _ := get(v.options.EntryAddress, loadview.Path); status != http.StatusNotFound {
		t.Errorf("%d for a caller", status)
	}
	// The VM leaves 10 ms for the answer to reach the caller, so that this deadline has passed on arrival.
	if status, _ := getWithDeadline(v.options.EntryAddress, "/p/x", 5*time.Millisecond); status != http.StatusServiceUnavailable {
		t.Fatalf("%d with a deadline that cannot be kept", status)
	}
	for _, address := range []string{v.options.PeerAddress, v.options.MetricsAddress} {
		status, page := get(address, loadview.Path)
		var view loadview.View
		if err := json.Unmarshal([]byte(page), &view); status != http.StatusOK || err != nil {
			t.Fatalf("%d %v: %s", status, err, page)
		}
		if view.VM != "a" || view.Region != "n" || len(view.Regions) != 2 || len(view.Services) != 1 {
			t.Errorf("%s", page)
		}
		if s := view.Services[0]; s.Service != "s" || len(s.Demand) != 1 || s.Demand[0].DemandSlots <= 0 || s.Regions[0].CapacitySlots <= 0 || s.Weights[0].Weights["n"] <= 0 {
			t.Errorf("%s", page)
		}
		if len(view.Refused) != 1 {
			t.Fatalf("refused %+v", view.Refused)
		}
		if r := view.Refused[0]; r.Service != "s" || r.Region != "n" || r.Refused != 1 || len(r.Started) != 1 || r.Started[0].Started < 1 {
			t.Errorf("refused %+v", r)
		}
		refused := 0
		for _, a := range view.Accounts {
			for _, r := range a.Reasons {
				if a.Account == "" && r.Reason == "no route" {
					refused += r.Refused
				}
			}
		}
		if refused < 2 {
			t.Errorf("%d refusals: %s", refused, page)
		}
	}
}

// getWithDeadline is get with another deadline.
func getWithDeadline(address, path string, deadline time.Duration) (int, string) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, ""
	}
	defer c.Close()
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Deadline: %d\r\n\r\n", path, deadline.Milliseconds())
	return readResponse(c)
}
