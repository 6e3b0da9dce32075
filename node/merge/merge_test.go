package merge

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/config/changelog"
	"github.com/yuccaroute/yuccaroute/config/examples"
	"github.com/yuccaroute/yuccaroute/config/source"
	"github.com/yuccaroute/yuccaroute/spread/item"
	"github.com/yuccaroute/yuccaroute/store"
	"github.com/yuccaroute/yuccaroute/store/memkv"
)

const template = examples.DealerTemplate

// made tells from which texts an account was made; zero for none.
type made struct{ template, account int64 }

// history is a store that operators change, with all that watchers emitted of it.
type history struct {
	t       *rapid.T
	kv      store.KV
	log     *changelog.Log
	changes int
	// copies holds the store as it was after each change.
	copies []store.KV
	// accepted holds what each account was at each version of each history.
	accepted map[string]bool
	newest   map[string]made
	version  changelog.Version
	// lost is the newest version before the store went back.
	lost    changelog.Version
	emitted []item.Item
}

func newHistory(t *rapid.T) *history {
	h := &history{t: t, accepted: map[string]bool{}}
	h.open(memkv.New(memkv.Options{}))
	return h
}

// open goes on with another store, of which nothing is known.
func (h *history) open(kv store.KV) {
	h.kv = kv
	h.log = changelog.New(kv, changelog.Options{})
}

// change makes the next change.
func (h *history) change(name string, remove bool) {
	h.changes++
	c := changelog.Change{
		ID: fmt.Sprintf("change-%04d", h.changes), Who: "ana", Template: template, Name: name,
		Kind: changelog.KindAccount, Delete: remove, IfSequence: changelog.AnySequence,
	}
	number := fmt.Sprint(1000 + h.changes)
	if name == template {
		c.Kind = changelog.KindTemplate
		c.Text = []byte(strings.Replace(string(examples.Text(template)), "deadline_ms = 1500", "deadline_ms = "+number, 1))
	} else if !remove {
		text := strings.Replace(string(examples.Text(examples.DaehanAccount)), "name = daehan", "name = "+name, 1)
		c.Text = []byte(text + "\n[service dealer-desk]\nmax_request_bytes = " + number + "\n")
	}
	if _, err := h.log.Apply(context.Background(), c); err != nil && !remove {
		h.t.Fatal(err)
	}
	h.read()
}

// goBack restores the store from a copy. Operators go on, on nodes that do not
// know of it.
func (h *history) goBack(to int) {
	h.lost = h.version
	h.open(copyOf(h.t, h.copies[to]))
	h.read()
}

// adopt makes the state of a store that went back the newest.
func (h *history) adopt() {
	h.log.Guard().Learn(template, changelog.Sighting{Version: h.lost})
	_, err := h.log.Adopt(context.Background(), changelog.Change{ID: "adopt-the-store", Who: "ana", Template: template})
	if err != nil {
		h.t.Fatal(err)
	}
	h.read()
}

// read notes what is accepted now and what a watcher emits that has just started.
func (h *history) read() {
	h.copies = append(h.copies, copyOf(h.t, h.kv))
	at, err := h.log.Read(context.Background(), template)
	if err != nil {
		h.t.Fatal(err)
	}
	h.version, h.newest = at.Version, map[string]made{}
	for _, document := range at.Accounts {
		m := made{numberIn(at.Template.Text, "deadline_ms"), numberIn(document.Text, "max_request_bytes")}
		version := changelog.Version{Epoch: at.Epoch, Sequence: max(at.Template.Sequence, document.Sequence)}
		h.newest[document.Name] = m
		h.accepted[fmt.Sprint(document.Name, version, m)] = true
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	src := source.NewIn(source.Documents, h.kv, changelog.New(h.kv, changelog.Options{}), quiet())
	_ = src.Run(ctx, func(key string, epoch, sequence uint64, body []byte) {
		h.emitted = append(h.emitted, item.New(key, epoch, sequence, body))
		if strings.HasPrefix(key, source.HeadKeyPrefix) {
			cancel()
		}
	})
}

func copyOf(t *rapid.T, kv store.KV) store.KV {
	listing, err := kv.List(context.Background(), "")
	if err != nil {
		t.Fatal(err)
	}
	out := memkv.New(memkv.Options{})
	for _, entry := range listing.Entries {
		_, _ = out.Swap(context.Background(), entry.Key, entry.Value, 0, 0)
	}
	return out
}

// numberIn reads the last number of a key in a text.
func numberIn(text []byte, key string) (number int64) {
	parts := strings.Split(string(text), key+" = ")
	if key == "deadline_ms" {
		parts = parts[:2]
	}
	_, _ = fmt.Sscan(parts[len(parts)-1], &number)
	return number
}

// node is the accounts in force of a node to which items come.
type node struct {
	t       *rapid.T
	history *history
	table   *item.Table
	merger  *Merger
	states  map[model.AccountName]State
	inForce map[string]made
	// arriving is called whenever the merger looks at an account.
	arriving func()
}

func newNode(t *rapid.T, h *history) *node {
	n := &node{t: t, history: h, table: item.NewTable(), states: map[model.AccountName]State{}, inForce: map[string]made{}, arriving: func() {}}
	n.merger = New(n.table.Snapshot, n, quiet())
	n.merger.atOnce, n.merger.pause = 1, 0
	return n
}

func (n *node) arrive(it item.Item) {
	n.table.Apply(it)
	n.merger.OnItem(it)
}

func (n *node) State(name model.AccountName) (State, bool) {
	n.arriving()
	state, known := n.states[name]
	return state, known
}

func (n *node) Put(account *model.Account, _ [][]byte, state State) error {
	desk := account.Service("dealer-desk")
	m := made{desk.Deadline.Milliseconds(), desk.MaxRequestBytes}
	if !n.history.accepted[fmt.Sprint(account.Name, state.Version, m)] {
		n.t.Fatalf("%s at %s is made of %+v, which was not accepted", account.Name, state.Version, m)
	}
	n.set(account.Name, state)
	n.inForce[string(account.Name)] = m
	return nil
}

func (n *node) Remove(name model.AccountName, state State) {
	n.set(name, state)
	delete(n.inForce, string(name))
}

func (n *node) set(name model.AccountName, state State) {
	if state.Version.Less(n.states[name].Version) {
		n.t.Fatalf("%s went back from %s to %s", name, n.states[name].Version, state.Version)
	}
	n.states[name] = state
}

// takeMerged puts in force what arrives merged from a watcher of the release
// before, which has read more than those that emit documents.
func (n *node) takeMerged(name string) {
	m, found := n.history.newest[name]
	state := State{Version: n.history.version}
	if old := n.states[model.AccountName(name)]; found && state.Replaces(old) {
		n.states[model.AccountName(name)] = state
		n.inForce[name] = m
	}
}

// Documents that arrive in any order, twice, late or after a restore must never merge into an account
// that nobody accepted or a state that was taken back.
func TestAnyOrderOfDocuments(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t)
		h.change(template, false)
		n := newNode(t, h)
		names := []string{"a", "b", "c"}
		few := rapid.IntRange(0, 3)
		n.arriving = func() {
			for range few.Draw(t, "arrive between") {
				n.arrive(rapid.SampledFrom(h.emitted).Draw(t, "item"))
			}
		}
		back := rapid.IntRange(0, 10).Draw(t, "goes back at")
		steps := rapid.IntRange(1, 10).Draw(t, "steps")
		for step := range steps {
			switch action := rapid.IntRange(0, 9).Draw(t, "action"); {
			case step == back:
				h.goBack(rapid.IntRange(0, len(h.copies)-1).Draw(t, "copy"))
			case action < 3:
				h.change(template, false)
			case action < 7 || back < steps:
				h.change(rapid.SampledFrom(names).Draw(t, "name"), action == 6)
			default:
				n.takeMerged(rapid.SampledFrom(names).Draw(t, "name"))
			}
			for range rapid.IntRange(0, 12).Draw(t, "arrivals") {
				n.arriving()
				n.merger.merge(context.Background(), template)
			}
		}
		n.arriving = func() {}
		n.arriveAll()
		if back < steps {
			n.mustAgree()
			h.adopt()
			n.arriveAll()
		}
		n.mustHaveNewest()
	})
}

// arriveAll gives the node all there is, in any order.
func (n *node) arriveAll() {
	for _, it := range rapid.Permutation(n.history.emitted).Draw(n.t, "all") {
		n.arrive(it)
	}
	n.merger.merge(context.Background(), template)
}

// mustAgree fails if another node, to which all came in order, has another state
// in force although both have put the same cut in force. Of two histories a node
// may hold the cut of one with documents of the other; then it merges neither.
func (n *node) mustAgree() {
	other := newNode(n.t, n.history)
	for _, it := range n.history.emitted {
		other.arrive(it)
		other.merger.merge(context.Background(), template)
	}
	if !n.merger.Settled() || !other.merger.Settled() {
		return
	}
	if diff := cmp.Diff(other.inForce, n.inForce, cmp.AllowUnexported(made{})); diff != "" {
		n.t.Fatalf("two nodes hold the same and have in force:\n%s", diff)
	}
}

func (n *node) mustHaveNewest() {
	if !n.merger.Settled() {
		n.t.Fatal("all has arrived and is not in force")
	}
	// What an adopted store lost without telling stays in force.
	for _, name := range slices.Sorted(maps.Keys(n.inForce)) {
		_, newest := n.history.newest[name]
		if !newest && n.states[model.AccountName(name)].Version.Epoch < n.history.version.Epoch {
			delete(n.inForce, name)
		}
	}
	if diff := cmp.Diff(n.history.newest, n.inForce, cmp.AllowUnexported(made{})); diff != "" {
		n.t.Fatalf("all has arrived, and in force is not the newest:\n%s", diff)
	}
}

// What replaces what is in force, case by case; random histories meet some rarely.
func TestReplaces(t *testing.T) {
	at := func(epoch, sequence, text uint64) State {
		return State{Version: changelog.Version{Epoch: epoch, Sequence: sequence}, Cut: text > 0, Document: text}
	}
	for what, c := range map[string]struct {
		old, next State
		want      bool
	}{
		"later":                      {at(1, 4, 1), at(1, 5, 1), true},
		"earlier":                    {at(1, 5, 1), at(1, 4, 2), false},
		"later epoch":                {at(1, 5, 1), at(2, 4, 1), true},
		"earlier epoch":              {at(2, 4, 1), at(1, 5, 2), false},
		"the same":                   {at(1, 5, 1), at(1, 5, 1), false},
		"another text":               {at(1, 5, 1), at(1, 5, 2), true},
		"merged, of the version":     {at(1, 5, 1), at(1, 5, 0), false},
		"of a cut, after merged":     {at(1, 5, 0), at(1, 5, 1), true},
		"merged, of a later version": {at(1, 5, 1), at(1, 6, 0), true},
	} {
		if got := c.next.Replaces(c.old); got != c.want {
			t.Errorf("%s: %v", what, got)
		}
	}
}

func quiet() logrus.FieldLogger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger
}
