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

// A dealer's client sends the same order through three entry VMs at once, many
// times. Only one request may get the right to run.
func TestOneRequestGetsTheRightToRun(t *testing.T) {
	kv := memkv.New(memkv.Options{})
	nodes := []*Recorder{newRecorder(kv, "a"), newRecorder(kv, "b"), newRecorder(kv, "c")}
	var rights atomic.Int32
	var done sync.WaitGroup
	for i := range 60 {
		done.Go(func() {
			_, err := nodes[i%len(nodes)].Record(context.Background(), order("o-1"))
			if err == nil {
				rights.Add(1)
			} else if !errors.Is(err, ErrDuplicate) {
				t.Error(err)
			}
		})
	}
	done.Wait()
	if n := rights.Load(); n != 1 {
		t.Fatalf("%d requests may run", n)
	}
}

// The store loses answers, drops writes, refuses calls and applies writes late
// while callers repeat every order through random nodes. Whatever happens, no
// order gets the right to run twice.
func TestNoSecondRightUnderStoreFaults(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) { checkFaults(t, seed) })
	}
}

func checkFaults(t *testing.T, seed uint64) {
	rates := faultkv.Rates{Refuse: 0.1, Drop: 0.1, LoseAnswer: 0.2, ApplyLate: 0.2, MaxDelay: 300 * time.Millisecond}
	faulty := faultkv.New(memkv.New(memkv.Options{}), faultkv.Random(seed, rates))
	nodes := []*Recorder{newRecorder(faulty, "a"), newRecorder(faulty, "b"), newRecorder(faulty, "c")}
	random := rand.New(rand.NewPCG(seed, 1))
	rights := map[string]int{}
	for range 400 {
		text := fmt.Sprintf("o-%d", random.IntN(40))
		node := nodes[random.IntN(len(nodes))]
		claim, err := node.Record(context.Background(), order(text))
		if err == nil {
			rights[text]++
		}
		if errors.Is(err, ErrUnknown) {
			// The order is refused as not run.
			node.Release(context.Background(), claim)
		}
		time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
	}
	faulty.WaitLate()
	for text, n := range rights {
		if n > 1 {
			t.Errorf("seed %d: %s got the right to run %d times", seed, text, n)
		}
	}
	if len(rights) < 20 {
		t.Errorf("seed %d: only %d orders got the right to run", seed, len(rights))
	}
}

// The answer to the write is lost although the record is there. The order must
// not be refused as its own duplicate.
func TestLostAnswerIsResolved(t *testing.T) {
	script := map[faultkv.Kind][]faultkv.Decision{faultkv.KindSwap: {{Fault: faultkv.LoseAnswer}}}
	kv := faultkv.New(memkv.New(memkv.Options{}), faultkv.Script(script))
	claim, err := newRecorder(kv, "a").Record(context.Background(), order("o-1"))
	if err != nil || claim.Revision == 0 {
		t.Fatalf("claim %+v, error %v", claim, err)
	}
}

// The store is out. Nothing is recorded; after a request was sent without a
// record, a repeat through the same node is still found.
func TestOutage(t *testing.T) {
	kv := faultkv.New(memkv.New(memkv.Options{}), nil)
	kv.SetOutage(true)
	r := newRecorder(kv, "a")
	if _, err := r.Record(context.Background(), order("o-1")); !errors.Is(err, ErrUnavailable) {
		t.Fatalf("error %v", err)
	}
	if !r.ClaimLocally(order("o-1")) || r.ClaimLocally(order("o-1")) {
		t.Fatal("not exactly one request may run without a record")
	}
	if _, err := r.Record(context.Background(), order("o-1")); !errors.Is(err, ErrDuplicate) {
		t.Fatalf("error %v", err)
	}
}

// An order was shed by its target. The caller is told that it did not run and
// sends it again: that must not be refused as a duplicate, on any node.
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

// The store serves several hundred writes a second for everybody. A node over
// its part must not take more, and many keys share one lease.
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
		// Ten seconds at ten a second, and one second's burst.
		if recorded > 110 || recorded < 100 {
			t.Errorf("%d keys recorded", recorded)
		}
		counts := kv.Counts()
		if counts.Of(faultkv.KindSwap) != uint64(recorded) || counts.Of(faultkv.KindGrant) != 1 {
			t.Errorf("%d writes and %d leases for %d keys", counts.Of(faultkv.KindSwap), counts.Of(faultkv.KindGrant), recorded)
		}
	})
}

// Records must last for Keep, and must not fill the store for ever.
func TestRecordsLastForKeep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const keep = time.Hour
		kv := memkv.New(memkv.Options{})
		a := New(Options{Store: kv, Node: grant.NodeID{VM: "a"}, Retention: keep})
		b := New(Options{Store: kv, Node: grant.NodeID{VM: "b"}, Retention: keep})
		mustRecord(t, a, "first")
		time.Sleep(keep - time.Second)
		mustRecord(t, a, "second")
		time.Sleep(keep - time.Second)
		if _, err := b.Record(context.Background(), order("second")); !errors.Is(err, ErrDuplicate) {
			t.Errorf("a record was gone before its time: %v", err)
		}
		time.Sleep(keep)
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
