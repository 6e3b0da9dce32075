package keys

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/store"
	"github.com/yuccaroute/yuccaroute/store/faultkv"
	"github.com/yuccaroute/yuccaroute/store/memkv"
)

func newRecorder(kv store.KV, vm string) *Recorder {
	return New(Options{Store: kv, Node: grant.NodeID{VM: vm, Incarnation: 7}, WritesPerSecond: 1e6})
}

func order(text string) Key { return Key{Account: "daehan", Service: "dealer-desk", Text: text} }

// Of concurrent requests with the same key through several entry VMs, only one may
// get the claim.
func TestOneRequestGetsTheClaim(t *testing.T) {
	kv := memkv.New(memkv.Options{})
	nodes := []*Recorder{newRecorder(kv, "a"), newRecorder(kv, "b"), newRecorder(kv, "c")}
	var claims atomic.Int32
	var done sync.WaitGroup
	for i := range 60 {
		done.Go(func() {
			_, err := nodes[i%len(nodes)].Record(context.Background(), order("o-1"))
			if err == nil {
				claims.Add(1)
			} else if !errors.Is(err, ErrDuplicate) {
				t.Error(err)
			}
		})
	}
	done.Wait()
	if n := claims.Load(); n != 1 {
		t.Fatalf("%d requests got the claim", n)
	}
}

// Store faults must not let a repeated request get the claim twice.
func TestNoSecondClaimUnderStoreFaults(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) { checkFaults(t, seed) })
	}
}

func checkFaults(t *testing.T, seed uint64) {
	rates := faultkv.Rates{Refuse: 0.1, Drop: 0.1, LoseAnswer: 0.2, ApplyLate: 0.2, MaxDelay: 300 * time.Millisecond}
	faulty := faultkv.New(memkv.New(memkv.Options{}), faultkv.Random(seed, rates))
	nodes := []*Recorder{newRecorder(faulty, "a"), newRecorder(faulty, "b"), newRecorder(faulty, "c")}
	random := rand.New(rand.NewPCG(seed, 1))
	claims := map[string]int{}
	for range 400 {
		text := fmt.Sprintf("o-%d", random.IntN(40))
		node := nodes[random.IntN(len(nodes))]
		claim, err := node.Record(context.Background(), order(text))
		if err == nil {
			claims[text]++
		}
		if errors.Is(err, ErrUnknown) {
			// The caller is told that the order did not run.
			node.Release(context.Background(), claim)
		}
		time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
	}
	faulty.WaitLate()
	for text, n := range claims {
		if n > 1 {
			t.Errorf("seed %d: %s was claimed %d times", seed, text, n)
		}
	}
	if len(claims) < 20 {
		t.Errorf("seed %d: only %d orders were claimed", seed, len(claims))
	}
}

// An order whose write succeeds with a lost response must not be refused as its
// own duplicate.
func TestLostResponseIsResolved(t *testing.T) {
	script := map[faultkv.Kind][]faultkv.Decision{faultkv.KindSwap: {{Fault: faultkv.LoseAnswer}}}
	kv := faultkv.New(memkv.New(memkv.Options{}), faultkv.Script(script))
	claim, err := newRecorder(kv, "a").Record(context.Background(), order("o-1"))
	if err != nil || claim.Revision == 0 {
		t.Fatalf("claim %+v, error %v", claim, err)
	}
}

// During a store outage nothing is recorded, but a repeat through the same node
// must still be detected.
func TestOutage(t *testing.T) {
	kv := faultkv.New(memkv.New(memkv.Options{}), nil)
	kv.SetOutage(true)
	r := newRecorder(kv, "a")
	if _, err := r.Record(context.Background(), order("o-1")); !errors.Is(err, ErrUnavailable) {
		t.Fatalf("error %v", err)
	}
	if !r.ClaimLocally(order("o-1")) || r.ClaimLocally(order("o-1")) {
		t.Fatal("want exactly one local claim")
	}
	if _, err := r.Record(context.Background(), order("o-1")); !errors.Is(err, ErrDuplicate) {
		t.Fatalf("error %v", err)
	}
}

// After Release, a repeat must not be refused as a duplicate on any node.
func TestReleasedKeyMayBeUsedAgain(t *testing.T) {
	kv := memkv.New(memkv.Options{})
	a, b := newRecorder(kv, "a"), newRecorder(kv, "b")
	claim, err := a.Record(context.Background(), order("o-1"))
	if err != nil {
		t.Fatal(err)
	}
	a.Release(context.Background(), claim)
	if _, err := b.Record(context.Background(), order("o-1")); err != nil {
		t.Fatal(err)
	}
}

// A node must not exceed its write rate, and many keys must share one lease.
func TestStoreCallsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := faultkv.New(memkv.New(memkv.Options{}), nil)
		r := New(Options{Store: kv, WritesPerSecond: 10, Retention: time.Hour})
		recorded := 0
		for i := range 1000 {
			_, err := r.Record(context.Background(), order(fmt.Sprint(i)))
			if err == nil {
				recorded++
			}
			time.Sleep(10 * time.Millisecond)
		}
		// Ten seconds at ten per second, and a burst of one second.
		if recorded > 110 || recorded < 100 {
			t.Errorf("%d keys recorded", recorded)
		}
		counts := kv.Counts()
		if counts.Of(faultkv.KindSwap) != uint64(recorded) || counts.Of(faultkv.KindGrant) != 1 {
			t.Errorf("%d writes and %d leases for %d keys", counts.Of(faultkv.KindSwap), counts.Of(faultkv.KindGrant), recorded)
		}
	})
}

// Records must last for the retention time and must be removed afterwards.
func TestRecordsLastForRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const retention = time.Hour
		kv := memkv.New(memkv.Options{})
		a := New(Options{Store: kv, Node: grant.NodeID{VM: "a"}, Retention: retention})
		b := New(Options{Store: kv, Node: grant.NodeID{VM: "b"}, Retention: retention})
		mustRecord(t, a, "first")
		time.Sleep(retention - time.Second)
		mustRecord(t, a, "second")
		time.Sleep(retention - time.Second)
		if _, err := b.Record(context.Background(), order("second")); !errors.Is(err, ErrDuplicate) {
			t.Errorf("a record was removed too early: %v", err)
		}
		time.Sleep(retention)
		listing, err := kv.List(context.Background(), prefix)
		if err != nil || len(listing.Entries) != 0 {
			t.Errorf("%d records left, error %v", len(listing.Entries), err)
		}
	})
}

func mustRecord(t *testing.T, r *Recorder, text string) {
	t.Helper()
	if _, err := r.Record(context.Background(), order(text)); err != nil {
		t.Fatal(err)
	}
}
