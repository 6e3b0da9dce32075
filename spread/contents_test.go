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

// contentBytes is about what the caller blocks of an account of today are, in
// sets that do not fit one message together.
const contentBytes = 100_000

// namesMark begins the body of a test's item that names content.
var namesMark = []byte("names:")

// naming returns a state of the account that names the contents of the numbers
// given, and these contents.
func naming(sequence uint64, numbers ...int) (item.Item, []item.Item) {
	body := append(slices.Clone(namesMark), byte(len(numbers)))
	var contents []item.Item
	for _, number := range numbers {
		one := contentNumber(number)
		name := content.NameOf(one)
		body = append(body, name[:]...)
		contents = append(contents, item.New(name.Key(), 0, 0, one))
	}
	return item.New("account/daehan", 1, sequence, fmt.Appendf(body, "state %d", sequence)), contents
}

// contentNumber makes bytes that do not compress.
func contentNumber(number int) []byte {
	var seed [32]byte
	seed[0] = byte(number)
	body := make([]byte, contentBytes)
	_, _ = rand.NewChaCha8(seed).Read(body)
	return body
}

func testNames(_ string, body []byte) []content.Name {
	rest, found := bytes.CutPrefix(body, namesMark)
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

// putNaming puts a state and its contents into the store.
func (f *testFleet) putNaming(sequence uint64, numbers ...int) item.Item {
	it, contents := naming(sequence, numbers...)
	f.store.put(append(contents, it)...)
	return it
}

// mustHoldContent fails if a node shows an item without the content it names, or
// keeps content that nothing names.
func (f *testFleet) mustHoldContent() {
	f.t.Helper()
	for vm, n := range f.nodes {
		named := map[string]bool{}
		held := n.Snapshot()
		for _, it := range held.Prefix("") {
			for _, name := range testNames(it.Key, it.Body) {
				named[name.Key()] = true
				if _, ok := held.Get(name.Key()); !ok {
					f.t.Fatalf("%s shows %s %d without its content", vm, it.Key, it.Sequence)
				}
			}
		}
		if n := len(held.Prefix(content.Prefix)); n != len(named) {
			f.t.Fatalf("%s keeps %d contents, %d are named", vm, n, len(named))
		}
	}
}

// An operator changes the capacity of an account with 300 kB of caller blocks,
// ten times. Its blocks are the same each time and must not be sent again: they
// would take the links' whole budget and more.
func TestUnchangedContentIsNotSent(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		const changes = 10
		f.mustSettle(f.putNaming(2, 1, 2, 3))
		f.net.sentSince()
		f.after(changes * time.Second)
		idle := f.net.sentSince()
		var last item.Item
		for i := range changes {
			last = f.putNaming(uint64(3+i), 1, 2, 3)
			f.after(time.Second)
		}
		f.mustHave(last)
		sum, most := 0, 0
		for address, n := range f.net.sentSince() {
			sum += n - idle[address]
			most = max(most, n-idle[address])
		}
		// An item is its body, its key and version, and the digests beside it.
		mean, relay := sum/changes/len(f.nodes), most/changes
		size := len(last.Body) + 100
		f.t.Logf("item of %d B: mean node %d, worst %d B a change", len(last.Body), mean, relay)
		if mean > 2*size || relay > 21*size {
			f.t.Errorf("mean node sends %d, worst %d B a change of an item of %d B", mean, relay, len(last.Body))
		}
	})
}

// mustSettle waits until the item is everywhere.
func (f *testFleet) mustSettle(it item.Item) {
	f.t.Helper()
	f.after(inForce)
	f.mustHave(it)
	f.mustHoldContent()
}

// Streams bring the new state of an account, but its blocks are lost on the way.
// The state before must stay in force, with its blocks, until the new ones are
// there too; within the 8 s they must come by comparison.
func TestLostContent(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		before := f.putNaming(2, 1)
		f.mustSettle(before)
		f.net.setLose(func(_, _, key string) bool { return content.IsKey(key) })
		f.neverBack("account/")
		after := f.putNaming(3, 2)
		for range 100 {
			f.after(time.Millisecond)
			f.mustHoldContent()
		}
		f.mustSettle(after)
	})
}

// A relay passes on an account's new state and dies before it passes on the
// blocks. Its subscribers have half of the change; they must stay with the state
// before and get the whole from the next relay.
func TestRelayDiesBetweenItemAndContent(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		f.mustSettle(f.putNaming(2, 1))
		relay := f.byRole(topology.Relay)
		waits := 0
		f.net.setLose(func(from, _, key string) bool { return from == relay.member.Address && content.IsKey(key) })
		f.net.setBlocked(func(from, _ string) bool { return from == relay.member.Address && waits > 0 })
		after := f.putNaming(3, 2, 3, 4, 5)
		for waits == 0 {
			f.after(time.Millisecond)
			for _, n := range f.nodes {
				if n.hub.lacksContent() && follows(n, relay) {
					waits++
				}
			}
		}
		f.mustHoldContent()
		f.kill(relay)
		f.mustSettle(after)
	})
}

func follows(n, upstream *testNode) bool {
	vm, _ := n.follows[0].state()
	return vm == upstream.member.VM
}

// VMs start while the store is out. They must learn an account and all its
// blocks, which take several messages, from peers before they are ready.
func TestNewNodesLearnContent(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		want := f.putNaming(2, 1, 2, 3, 4, 5, 6)
		f.mustSettle(want)
		f.store.setOut(true)
		f.mustLearn([]*testNode{f.start(f.addVM("r1", "r1-p0")), f.start(f.addVM("r2", "r2-p0"))}, want)
		f.mustHoldContent()
	})
}

// A VM that starts reaches a single peer, and the blocks of an account take three
// messages. Each message must bring what is lacking still; if each began anew,
// the account would never be in force.
func TestContentOfSeveralMessages(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		want := f.putNaming(2, 1, 2, 3, 4, 5, 6)
		f.mustSettle(want)
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

// An operator changes the blocks of an account and, an hour later, takes the
// change back. The earlier blocks were dropped everywhere; they must come back,
// and nobody may keep those of the change.
func TestChangeBackToEarlierContent(t *testing.T) {
	inFleet(t, func(f *testFleet) {
		f.neverBack("account/")
		f.mustSettle(f.putNaming(2, 1, 2))
		f.mustSettle(f.putNaming(3, 2, 3))
		f.after(time.Hour)
		f.mustSettle(f.putNaming(4, 1, 2))
		f.store.put(item.New("account/daehan", 1, 5, nil))
		f.after(inForce)
		f.mustHoldContent()
	})
}

// The watchers that read a change die before its blocks left them, and the store
// goes out. A state between the two, which other nodes have whole, must not be
// held up by the later one that nobody can complete.
func TestLaterStateThatCannotBeCompleted(t *testing.T) {
	h := newHub(testNames)
	last, _ := naming(4, 4)
	between, contents := naming(3, 3)
	for _, it := range []item.Item{last, between, contents[0]} {
		h.apply(it, nil)
	}
	if got, _ := h.table.Snapshot().Get(between.Key); got.Sum != between.Sum {
		t.Fatalf("state %d is in the table, not 3", got.Sequence)
	}
	_, contents = naming(4, 4)
	h.apply(contents[0], nil)
	if got, _ := h.table.Snapshot().Get(last.Key); got.Sum != last.Sum || h.table.Snapshot().Len() != 2 || h.lacksContent() {
		t.Fatalf("state %d is in the table with %d items, not 4 with its content", got.Sequence, h.table.Snapshot().Len())
	}
}
