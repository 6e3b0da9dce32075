package caller

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/bench/check"
	"github.com/yuccaroute/yuccaroute/client"
)

// vm answers as one entry VM with a target behind it, and keeps a ledger.
type vm struct {
	server *httptest.Server
	mu     sync.Mutex
	ran    []check.Ran
	from   map[string]bool
}

func startVM(t *testing.T) *vm {
	v := &vm{from: make(map[string]bool)}
	v.server = httptest.NewServer(http.HandlerFunc(v.serve))
	t.Cleanup(v.server.Close)
	return v
}

func (v *vm) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == client.LookupPath {
		fmt.Fprintf(w, `{"lifetime_ms":30000,"entry_vms":[{"id":"entry-1","address":%q}]}`, v.server.Listener.Addr())
		return
	}
	token := r.Header.Get(result.HeaderToken)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	v.mu.Lock()
	v.from[r.RemoteAddr[:len("127.10.1.")]] = true
	v.ran = append(v.ran, check.Ran{Token: token, Target: "t1", At: time.Now()})
	v.mu.Unlock()
	w.Header().Set(result.HeaderResult, "0")
	w.Header().Set(result.HeaderOutcome, result.Ran.String())
	fmt.Fprintf(w, "%s\n%d\n%s\n", token, len(body), token)
}

// The stand-in's own promise: bounded, spread over the caller blocks, and one
// record for each request sent, which the checker accepts.
func TestRunRecordsEachRequest(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	v := startVM(t)
	var recorder check.Recorder
	c, err := New(Options{
		Account: "daehan", Nodes: []string{v.server.Listener.Addr().String()}, Blocks: DaehanBlocks(),
		Loads: []Load{DealerDesk(Steady(3000)), WarehouseDocs(Steady(300))},
		Seed:  1, Name: "unit", MaxRequests: 600, MaxInFlight: 600, Told: recorder.AddTold,
	})
	if err != nil {
		t.Fatal(err)
	}
	counts := c.Run(context.Background())
	c.Close()
	v.server.Close()
	report := check.Check(check.Input{Told: recorder.Told(), Ran: v.ran})
	if counts.Sent != 600 || report.Told != 600 || report.Violations() != 0 {
		t.Errorf("sent %d, want 600\n%s", counts.Sent, report)
	}
	if len(v.from) != 3 {
		t.Errorf("requests came from blocks %v, want all three", v.from)
	}
}

func TestArrivalsFollowTheRate(t *testing.T) {
	a := arrivals{rate: Rush(100, 400, 10*time.Second, 0), random: rand.New(rand.NewPCG(1, 1))}
	before, after := 0, 0
	for at := a.after(); at < 20*time.Second; at = a.after() {
		if at < 10*time.Second {
			before++
		} else {
			after++
		}
	}
	// Four standard deviations about 1000 and 4000.
	if before < 873 || before > 1127 || after < 3747 || after > 4253 {
		t.Errorf("%d and %d arrivals, want about 1000 and 4000", before, after)
	}
}

func TestKindsFollowTheMix(t *testing.T) {
	load := Termindienst(Steady(1))
	random := rand.New(rand.NewPCG(1, 1))
	orders := 0
	for range 10_000 {
		if drawKind(load.Kinds, random).Class == model.NonIdempotent {
			orders++
		}
	}
	if orders < 1357 || orders > 1643 {
		t.Errorf("%d bookings of 10000, want about 1500", orders)
	}
}

func TestCutOrMixedBodyIsNotWhole(t *testing.T) {
	cases := []struct {
		body  string
		token string
		whole bool
	}{
		{"k1\nrows\nk1\n", "k1", true},
		{"k1\nro", "", false},
		{"k1\nrows\n", "k1", false},
		{"k1\nrows\nk2\n", "k1", false},
		{"", "", false},
	}
	for _, c := range cases {
		token, whole := readAnswer(&client.Answer{Body: []byte(c.body)})
		if token != c.token || whole != c.whole {
			t.Errorf("%q: got %q %v, want %q %v", c.body, token, whole, c.token, c.whole)
		}
	}
}
