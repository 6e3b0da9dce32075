package platform_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/membership"
	"github.com/yuccaroute/yuccaroute/membership/httplist"
	"github.com/yuccaroute/yuccaroute/standin/platform"
	"github.com/yuccaroute/yuccaroute/store"
)

func vm(id string, port uint16) membership.VM {
	return membership.VM{
		ID: id, Region: "tirol", Place: "tirol-1",
		Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port),
		Peer:    netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port+1),
	}
}

func mustList(t *testing.T, l membership.Lister, want ...membership.VM) {
	t.Helper()
	list, err := l.List(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if len(list.VMs) != len(want) {
		t.Fatalf("list %+v, want %+v", list.VMs, want)
	}
	for i := range want {
		if list.VMs[i] != want[i] {
			t.Errorf("row %d is %+v, want %+v", i, list.VMs[i], want[i])
		}
	}
}

func post(t *testing.T, s *platform.Server, path string, message any) {
	t.Helper()
	body, err := json.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.Post("http://"+s.Addr()+path, "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		t.Fatalf("%s answered %s", path, response.Status)
	}
}

func TestListOverHTTP(t *testing.T) {
	s := start(t, platform.Options{})
	l := httplist.New(httplist.Options{Address: s.Addr()})
	t.Cleanup(l.Close)
	mustList(t, l)
	s.SetVMs(vm("b", 20), vm("a", 10))
	mustList(t, l, vm("a", 10), vm("b", 20))
	mustList(t, l, vm("a", 10), vm("b", 20))
	s.RemoveVMs("a")
	mustList(t, l, vm("b", 20))

	hour := time.Hour.Milliseconds()
	post(t, s, platform.PathVMs, platform.VMChange{LagMillis: &hour, Remove: []string{"b"}})
	mustList(t, l, vm("b", 20))
	var none int64
	post(t, s, platform.PathVMs, platform.VMChange{LagMillis: &none})
	mustList(t, l)

	post(t, s, platform.PathFault, platform.Fault{Outage: true})
	if _, err := l.List(t.Context()); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("list in an outage: %v", err)
	}
	post(t, s, platform.PathFault, platform.Fault{})
	mustList(t, l)
}

// An empty object must not be taken for a VM list, by which every VM would have ended.
func TestEmptyObjectIsNoList(t *testing.T) {
	between := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("{}"))
	}))
	t.Cleanup(between.Close)
	l := httplist.New(httplist.Options{Address: between.Listener.Addr().String()})
	t.Cleanup(l.Close)
	if _, err := l.List(t.Context()); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("an empty object read as a list: %v", err)
	}
}
