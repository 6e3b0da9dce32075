package spread

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaroute/yuccaroute/spread/item"
	"github.com/yuccaroute/yuccaroute/spread/topology"
)

const (
	randomRuns  = 10
	randomSteps = 60
	// healTime is the time a fleet gets to converge after all faults end; it
	// covers several comparisons with random peers.
	healTime = 2 * time.Minute
)

// Under random faults no listener may receive an older state, and after all
// faults end every node must have the latest state of each key.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(randomRuns) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &randomRun{
					testFleet: newTestFleet(t, 3, 2, 3),
					random:    rand.New(rand.NewPCG(seed, 1)),
					hung:      map[string]bool{},
					latest:    map[string]item.Item{},
				}
				defer r.stop()
				r.run()
			})
		})
	}
}

// randomRun is a fleet with its active faults.
type randomRun struct {
	*testFleet
	random         *rand.Rand
	hung           map[string]bool
	isolatedRegion string
	latest         map[string]item.Item
	// storeUnavailable is true while the store rejects writes.
	storeUnavailable bool
}

func (r *randomRun) run() {
	r.advance(settleTime)
	r.requireMonotonic("")
	steps := []func(){r.put, r.put, r.publish, r.publish, r.killNode, r.startNode, r.hangNode, r.recoverNodes, r.isolateRegion, r.reconnectRegion, r.toggleOutage, r.restoreOlderState}
	for range randomSteps {
		steps[r.random.IntN(len(steps))]()
		r.advance(time.Duration(r.random.IntN(8000)) * time.Millisecond)
		r.mustHaveConsistentContent()
	}
	clear(r.hung)
	r.isolatedRegion = ""
	r.applyFaults()
	r.store.setUnavailable(false)
	r.advance(healTime)
	for _, want := range r.latest {
		r.mustHave(want)
	}
	r.mustHaveConsistentContent()
}

// next returns a later state of a random key with the prefix.
func (r *randomRun) next(prefix string) item.Item {
	key := fmt.Sprintf("%s/%d", prefix, r.random.IntN(3))
	var body []byte
	if r.random.IntN(5) > 0 {
		body = fmt.Appendf(nil, "%d", r.random.Uint64())
	}
	it := item.New(key, 1, r.latest[key].Sequence+1, body)
	r.latest[key] = it
	return it
}

// put does nothing while the store is unavailable.
func (r *randomRun) put() {
	if r.storeUnavailable {
		return
	}
	it := r.next("account")
	if !it.Deleted && r.random.IntN(2) == 0 {
		it = r.withContents(it)
	}
	r.store.put(it)
}

// withContents returns the state with references to random contents.
func (r *randomRun) withContents(it item.Item) item.Item {
	named, contents := accountWithContents(it.Sequence, r.random.IntN(4), r.random.IntN(4))
	it = item.New(it.Key, it.Epoch, it.Sequence, named.Body)
	r.latest[it.Key] = it
	r.store.put(contents...)
	return it
}

// restoreOlderState makes the store return an older state of a key, once all
// nodes have the latest; otherwise the latest state could be lost.
func (r *randomRun) restoreOlderState() {
	const key = "account/0"
	if len(r.nodesLacking(r.latest[key])) == 0 {
		r.store.put(item.New(key, 1, 0, []byte("old")))
	}
}

func (r *randomRun) publish() {
	it := r.next("plan")
	n := r.pick()
	if err := n.Publish(it.Key, it.Epoch, it.Sequence, it.Body); err != nil {
		r.t.Fatal(err)
	}
	// A second node publishes the same state, because the first may be killed
	// before any other node has it.
	second := r.pick()
	if err := second.Publish(it.Key, it.Epoch, it.Sequence, it.Body); err != nil {
		r.t.Fatal(err)
	}
}

func (r *randomRun) pick() *testNode {
	var names []string
	for vm := range r.nodes {
		names = append(names, vm)
	}
	slices.Sort(names)
	return r.nodes[names[r.random.IntN(len(names))]]
}

// killNode kills a node without unsent items.
func (r *randomRun) killNode() {
	n := r.pick()
	if len(r.nodes) > 12 && n.pushes.len() == 0 {
		r.kill(n)
	}
}

func (r *randomRun) startNode() {
	for _, m := range topology.FromList(r.list) {
		if _, ok := r.nodes[m.VM]; !ok {
			r.requireMonotonicOn(r.start(m), "")
			return
		}
	}
}

func (r *randomRun) hangNode() {
	if len(r.hung) < 3 {
		r.hung[r.pick().member.Address] = true
	}
	r.applyFaults()
}

func (r *randomRun) recoverNodes() {
	clear(r.hung)
	r.applyFaults()
}

func (r *randomRun) isolateRegion() {
	r.isolatedRegion = fmt.Sprintf("r%d", r.random.IntN(3))
	r.applyFaults()
}

func (r *randomRun) reconnectRegion() {
	r.isolatedRegion = ""
	r.applyFaults()
}

func (r *randomRun) toggleOutage() {
	r.storeUnavailable = r.random.IntN(2) == 0
	r.store.setUnavailable(r.storeUnavailable)
}

// applyFaults applies the active faults to the network.
func (r *randomRun) applyFaults() {
	region := map[string]string{}
	for _, m := range topology.FromList(r.list) {
		region[m.Address] = m.Region
	}
	hung, isolatedRegion := map[string]bool{}, r.isolatedRegion
	for address := range r.hung {
		hung[address] = true
	}
	r.net.setBlocked(func(from, to string) bool {
		return hung[from] || hung[to] || isolatedRegion != "" && (region[from] == isolatedRegion) != (region[to] == isolatedRegion)
	})
}
