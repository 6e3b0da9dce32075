package spread

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/content"
	"github.com/yuccaroute/yuccaroute/spread/item"
	"github.com/yuccaroute/yuccaroute/spread/topology"
)

// contentBytes is chosen so that several contents exceed one message.
const contentBytes = 100_000

// namesPrefix starts the body of a test item that references content.
var namesPrefix = []byte("names:")

// accountWithContents returns a state of the account that references the
// numbered contents, and these contents.
func accountWithContents(sequence uint64, numbers ...int) (item.Item, []item.Item) {
	body := append(slices.Clone(namesPrefix), byte(len(numbers)))
	var contents []item.Item
	for _, number := range numbers {
		one := randomContent(number)
		name := content.NameOf(one)
		body = append(body, name[:]...)
		contents = append(contents, item.New(name.Key(), 0, 0, one))
	}
	return item.New("account/daehan", 1, sequence, fmt.Appendf(body, "state %d", sequence)), contents
}

// randomContent returns incompressible bytes.
func randomContent(number int) []byte {
	var seed [32]byte
	seed[0] = byte(number)
	body := make([]byte, contentBytes)
	_, _ = rand.NewChaCha8(seed).Read(body)
	return body
}

func testNames(_ string, body []byte) []content.Name {
	rest, found := bytes.CutPrefix(body, namesPrefix)
	if !found {
		return nil
	}
	names := make([]content.Name, rest[0])
	rest = rest[1:]
	for i := range names {
		rest = rest[copy(names[i][:], rest):]
	}
	return names
}

// putWithContents writes a state and its contents to the store.
func (f *testFleet) putWithContents(sequence uint64, numbers ...int) item.Item {
	it, contents := accountWithContents(sequence, numbers...)
	f.store.put(append(contents, it)...)
	return it
}

// mustHaveConsistentContent fails if a node exposes an item without its
// content, or keeps unreferenced content.
func (f *testFleet) mustHaveConsistentContent() {
	f.t.Helper()
	for vm, n := range f.nodes {
		named := map[string]bool{}
		held := n.Snapshot()
		for _, it := range held.Prefix("") {
			for _, name := range testNames(it.Key, it.Body) {
				named[name.Key()] = true
				if _, ok := held.Get(name.Key()); !ok {
					f.t.Fatalf("%s has %s %d without its content", vm, it.Key, it.Sequence)
				}
			}
		}
		if n := len(held.Prefix(content.Prefix)); n != len(named) {
			f.t.Fatalf("%s keeps %d contents, %d are referenced", vm, n, len(named))
		}
	}
}

// Content blocks that an update leaves unchanged must not be sent again.
func TestUnchangedContentIsNotResent(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		const changes = 10
		f.mustConverge(f.putWithContents(2, 1, 2, 3))
		f.net.takeSentBytes()
		f.advance(changes * time.Second)
		idle := f.net.takeSentBytes()
		var last item.Item
		for i := range changes {
			last = f.putWithContents(uint64(3+i), 1, 2, 3)
			f.advance(time.Second)
		}
		f.mustHave(last)
		sum, worst := 0, 0
		for address, n := range f.net.takeSentBytes() {
			sum += n - idle[address]
			worst = max(worst, n-idle[address])
		}
		// The size of an item is its body, key, version and the digests sent
		// along.
		mean, relay := sum/changes/len(f.nodes), worst/changes
		size := len(last.Body) + 100
		f.t.Logf("item of %d B: mean node %d, worst %d B a change", len(last.Body), mean, relay)
		if mean > 2*size || relay > 21*size {
			f.t.Errorf("sent per change: mean node %d B, worst node %d B, for an item of %d B", mean, relay, len(last.Body))
		}
	})
}

// mustConverge waits until all nodes have the item and its content.
func (f *testFleet) mustConverge(it item.Item) {
	f.t.Helper()
	f.advance(convergeTimeout)
	f.mustHave(it)
	f.mustHaveConsistentContent()
}

// When content is lost on the streams, the previous state must stay active
// until a comparison has fetched the content.
func TestLostContent(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		before := f.putWithContents(2, 1)
		f.mustConverge(before)
		f.net.setDrop(func(_, _, key string) bool { return content.IsKey(key) })
		f.requireMonotonic("account/")
		after := f.putWithContents(3, 2)
		for range 100 {
			f.advance(time.Millisecond)
			f.mustHaveConsistentContent()
		}
		f.mustConverge(after)
	})
}

// When a relay dies between sending an item and its content, its subscribers
// must keep the previous state and get the complete change from another relay.
func TestRelayDiesBetweenItemAndContent(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		f.mustConverge(f.putWithContents(2, 1))
		relay := f.byRole(topology.Relay)
		waits := 0
		f.net.setDrop(func(from, _, key string) bool { return from == relay.member.Address && content.IsKey(key) })
		f.net.setBlocked(func(from, _ string) bool { return from == relay.member.Address && waits > 0 })
		after := f.putWithContents(3, 2, 3, 4, 5)
		for waits == 0 {
			f.advance(time.Millisecond)
			for _, n := range f.nodes {
				if n.hub.lacksContent() && isUpstreamOf(n, relay) {
					waits++
				}
			}
		}
		f.mustHaveConsistentContent()
		f.kill(relay)
		f.mustConverge(after)
	})
}

func isUpstreamOf(n, upstream *testNode) bool {
	vm, _ := n.subscriptions[0].state()
	return vm == upstream.member.VM
}

// VMs that start during a store outage must learn an account and its content
// from peers before they are ready.
func TestNewNodesLearnContent(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		want := f.putWithContents(2, 1, 2, 3, 4, 5, 6)
		f.mustConverge(want)
		f.store.setUnavailable(true)
		f.mustLearn([]*testNode{f.start(f.addVM("r1", "r1-p0")), f.start(f.addVM("r2", "r2-p0"))}, want)
		f.mustHaveConsistentContent()
	})
}

// Content that takes several messages must be completed by a single comparison;
// a repair must not restart with each message.
func TestContentInSeveralMessages(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		want := f.putWithContents(2, 1, 2, 3, 4, 5, 6)
		f.mustConverge(want)
		peer := f.byRole(topology.Leaf)
		fresh := f.start(f.addVM("r1", "r1-p0"))
		fresh.stop()
		<-fresh.done
		if _, err := fresh.compareWith(f.t.Context(), peer.member); err != nil {
			f.t.Fatal(err)
		}
		f.mustHave(want)
	})
}

// Content that was removed must be distributed again when a later state
// references it, and unreferenced content must be removed.
func TestRevertToEarlierContent(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		f.requireMonotonic("account/")
		f.mustConverge(f.putWithContents(2, 1, 2))
		f.mustConverge(f.putWithContents(3, 2, 3))
		f.advance(time.Hour)
		f.mustConverge(f.putWithContents(4, 1, 2))
		f.store.put(item.New("account/daehan", 1, 5, nil))
		f.advance(convergeTimeout)
		f.mustHaveConsistentContent()
	})
}

// A later state whose content is lost must not block an earlier complete state.
func TestIncompleteStateDoesNotBlockEarlier(t *testing.T) {
	h := newHub(testNames)
	last, _ := accountWithContents(4, 4)
	between, contents := accountWithContents(3, 3)
	for _, it := range []item.Item{last, between, contents[0]} {
		h.apply(it, nil)
	}
	if got, _ := h.table.Snapshot().Get(between.Key); got.Sum != between.Sum {
		t.Fatalf("state %d is in the table, not 3", got.Sequence)
	}
	_, contents = accountWithContents(4, 4)
	h.apply(contents[0], nil)
	if got, _ := h.table.Snapshot().Get(last.Key); got.Sum != last.Sum || h.table.Snapshot().Len() != 2 || h.lacksContent() {
		t.Fatalf("state %d is in the table with %d items, not 4 with its content", got.Sequence, h.table.Snapshot().Len())
	}
}
