package lookup

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"testing"

	"github.com/goccy/go-json"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/membership"
)

const testAccount model.AccountName = "daehan"

func account(revision uint64) *model.Account {
	return &model.Account{
		Name:     testAccount,
		Revision: revision,
		Regions:  []model.Region{{Name: "kr-seoul"}, {Name: "kr-busan"}},
		Callers: []model.CallerBlock{
			{Prefix: netip.MustParsePrefix("10.1.0.0/16"), Region: "kr-seoul"},
			{Prefix: netip.MustParsePrefix("10.2.0.0/16"), Region: "kr-busan"},
		},
	}
}

// vms returns count entry VMs, alternating between two regions of two places.
func vms(count int) membership.List {
	var list membership.List
	for i := range count {
		region := []model.RegionName{"kr-seoul", "kr-busan"}[i%2]
		list.VMs = append(list.VMs, membership.VM{
			ID:      fmt.Sprintf("entry-%03d", i),
			Region:  region,
			Place:   model.PlaceName(fmt.Sprintf("%s-%c", region, 'a'+rune(i/2%2))),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(9000+i)),
		})
	}
	return list
}

func newTestLookup(count int) *Lookup {
	l := New(Options{VM: "entry-000", Region: "kr-seoul", Place: "kr-seoul-a"})
	l.SetAccount(account(1))
	l.SetVMs(vms(count))
	return l
}

func caller(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)})
}

func TestOwnRegionFirstThenAnotherPlace(t *testing.T) {
	l := newTestLookup(12)
	var answer Answer
	for i := range 1000 {
		if code := l.Lookup(testAccount, caller(i), &answer); code != result.OK {
			t.Fatalf("code %v", code)
		}
		first, second, last := answer.EntryVMs[0], answer.EntryVMs[1], answer.EntryVMs[len(answer.EntryVMs)-1]
		if first.Region != "kr-seoul" || second.Region != "kr-seoul" || first.Place == second.Place {
			t.Fatalf("first two entry VMs %+v, %+v", first, second)
		}
		if last.Region != "kr-busan" {
			t.Fatalf("last entry VM %+v, want another region", last)
		}
	}
}

// Answers must omit this node from the start of its planned stop, before the VM
// list shows it, and every VM that is listed as leaving.
func TestLeavingVMIsInNoAnswer(t *testing.T) {
	l := newTestLookup(12)
	l.SetLeaving(true)
	list := vms(12)
	list.VMs[4].State = membership.StateLeaving
	l.SetVMs(list)
	var answer Answer
	for i := range 2000 {
		l.Lookup(testAccount, caller(i), &answer)
		for _, vm := range answer.EntryVMs {
			if vm.ID == "entry-000" || vm.ID == "entry-004" {
				t.Fatalf("leaving VM %s in an answer", vm.ID)
			}
		}
	}
}

// When a VM leaves, only its own callers may change their entry VM, since each
// change opens new connections.
func TestOnlyCallersOfLeavingVMMove(t *testing.T) {
	const callers = 20_000
	l := newTestLookup(20)
	before := make([]string, callers)
	load := make(map[string]int)
	var answer Answer
	for i := range callers {
		l.Lookup(testAccount, caller(i), &answer)
		before[i] = answer.EntryVMs[0].ID
		load[before[i]]++
	}
	for id, n := range load {
		if mean := callers / 10; n < mean*9/10 || n > mean*11/10 {
			t.Errorf("%s has %d of %d callers, want within a tenth of %d", id, n, callers, mean)
		}
	}
	list := vms(20)
	list.VMs[2].State = membership.StateLeaving
	l.SetVMs(list)
	for i := range callers {
		l.Lookup(testAccount, caller(i), &answer)
		if now := answer.EntryVMs[0].ID; now != before[i] && before[i] != "entry-002" {
			t.Fatalf("caller of %s moved to %s when entry-002 left", before[i], now)
		}
	}
}

func TestOlderAccountIsIgnored(t *testing.T) {
	l := newTestLookup(4)
	l.SetAccount(account(7))
	late := account(6)
	late.Callers = nil
	l.SetAccount(late)
	var answer Answer
	if code := l.Lookup(testAccount, caller(1), &answer); code != result.OK || answer.Revision != 7 {
		t.Fatalf("code %v, revision %d, want ok at 7", code, answer.Revision)
	}
}

func TestLookupDoesNotAllocate(t *testing.T) {
	l := newTestLookup(20)
	var answer Answer
	l.Lookup(testAccount, caller(1), &answer)
	if n := testing.AllocsPerRun(1000, func() { l.Lookup(testAccount, caller(1), &answer) }); n != 0 {
		t.Errorf("%v allocations per look-up, want 0", n)
	}
}

func TestConcurrentLookupsAndUpdates(t *testing.T) {
	l := newTestLookup(8)
	var readers sync.WaitGroup
	done := make(chan struct{})
	for range 4 {
		readers.Go(func() {
			var answer Answer
			revision := uint64(0)
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				default:
				}
				if code := l.Lookup(testAccount, caller(i), &answer); code != result.OK {
					t.Errorf("code %v during an update", code)
					return
				}
				if answer.Revision < revision {
					t.Errorf("revision went back from %d to %d", revision, answer.Revision)
					return
				}
				revision = answer.Revision
			}
		})
	}
	for i := range 200 {
		next := account(uint64(i + 2))
		next.Callers = append(next.Callers, model.CallerBlock{Prefix: netip.PrefixFrom(caller(i), 30).Masked(), Region: "kr-seoul"})
		l.SetAccount(next)
		l.SetVMs(vms(8 + i%4))
	}
	close(done)
	readers.Wait()
}

func TestHTTP(t *testing.T) {
	cases := []struct {
		name, method, account, remote string
		list                          membership.List
		want                          result.Code
	}{
		{"answered", http.MethodGet, "daehan", "10.1.0.9:5000", vms(4), result.OK},
		{"wrong method", http.MethodPost, "daehan", "10.1.0.9:5000", vms(4), result.BadRequest},
		{"no account", http.MethodGet, "", "10.1.0.9:5000", vms(4), result.BadRequest},
		{"unknown account", http.MethodGet, "nobody", "10.1.0.9:5000", vms(4), result.UnknownAccount},
		{"unknown region", http.MethodGet, "daehan", "192.0.2.1:5000", vms(4), result.UnknownCallerRegion},
		{"no entry VM", http.MethodGet, "daehan", "10.1.0.9:5000", membership.List{}, result.NoEntryVM},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := New(Options{})
			l.SetAccount(account(3))
			l.SetVMs(c.list)
			request := httptest.NewRequest(c.method, Path+"?account="+c.account, nil)
			request.RemoteAddr = c.remote
			recorder := httptest.NewRecorder()
			l.ServeHTTP(recorder, request)
			if got := recorder.Header().Get(result.HeaderResult); got != strconv.Itoa(int(c.want)) {
				t.Fatalf("result %s, want %d", got, c.want)
			}
			if recorder.Code != result.InfoOf(c.want).HTTP {
				t.Errorf("status %d, want %d", recorder.Code, result.InfoOf(c.want).HTTP)
			}
			if c.want != result.OK {
				return
			}
			var answer Answer
			if err := json.Unmarshal(recorder.Body.Bytes(), &answer); err != nil {
				t.Fatal(err)
			}
			if answer.CallerRegion != "kr-seoul" || answer.Revision != 3 || len(answer.EntryVMs) != 4 {
				t.Errorf("answer %+v", answer)
			}
		})
	}
}
