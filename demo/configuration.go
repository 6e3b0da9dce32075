package demo

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/admin/client"
	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/node"
)

const (
	// inForceBound is how long an accepted change may take until it is in
	// force on every node that can be reached.
	inForceBound = 8 * time.Second
	// revisionPoll is how often every node is asked for its revisions.
	revisionPoll = 20 * time.Millisecond
	// changePause is the time between two changes of one operator.
	changePause = 500 * time.Millisecond
	// operators is how many change each tenant's account at the same time.
	operators = 3
)

// change is one change that the administration API accepted.
type change struct {
	account  model.AccountName
	sequence uint64
	at       time.Time
	// inForce is when the last node had it, zero while one has not.
	inForce time.Time
}

// nodeAccount names an account on one node.
type nodeAccount struct {
	node    *node.Node
	account model.AccountName
}

// configurationWatch asks every node again and again which revisions it has in
// force. It counts nodes that go back and accepted changes that are late.
type configurationWatch struct {
	mu      sync.Mutex
	last    map[nodeAccount]uint64
	back    []string
	checked int
	changes []*change
	// conflicts counts changes refused as another operator came first.
	conflicts int
}

func newConfigurationWatch() *configurationWatch {
	return &configurationWatch{last: make(map[nodeAccount]uint64)}
}

// run watches until the context ends.
func (w *configurationWatch) run(ctx context.Context, world *World) {
	ticker := time.NewTicker(revisionPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.look(world, time.Now())
		}
	}
}

// look reads the revisions of all nodes that run.
func (w *configurationWatch) look(world *World, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	lowest := make(map[model.AccountName]uint64)
	for _, t := range world.Tenants {
		for _, n := range t.Nodes {
			if n.Running() {
				w.lookAt(n, lowest)
			}
		}
	}
	for _, c := range w.changes {
		if c.inForce.IsZero() && lowest[c.account] >= c.sequence {
			c.inForce = now
		}
	}
}

func (w *configurationWatch) lookAt(n *node.Node, lowest map[model.AccountName]uint64) {
	for _, a := range n.Accounts() {
		key := nodeAccount{n, a.Account}
		w.checked++
		if a.Revision < w.last[key] {
			w.back = append(w.back, fmt.Sprintf("%s went from %d to %d for %s", n.VM().ID, w.last[key], a.Revision, a.Account))
		}
		w.last[key] = a.Revision
		if low, seen := lowest[a.Account]; !seen || a.Revision < low {
			lowest[a.Account] = a.Revision
		}
	}
}

func (w *configurationWatch) accepted(account model.AccountName, sequence uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.changes = append(w.changes, &change{account: account, sequence: sequence, at: time.Now()})
}

func (w *configurationWatch) refused() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conflicts++
}

// pending reports whether a change is not in force everywhere and not late.
func (w *configurationWatch) pending(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(w.changes, func(c *change) bool {
		return c.inForce.IsZero() && now.Sub(c.at) <= inForceBound
	})
}

// late returns the changes that were not in force everywhere within the bound,
// and times returns how long the others took, in ascending order.
func (w *configurationWatch) late() []string {
	var late []string
	for _, c := range w.changes {
		if c.inForce.IsZero() || c.inForce.Sub(c.at) > inForceBound {
			late = append(late, fmt.Sprintf("%s at sequence %d was not in force everywhere within %s", c.account, c.sequence, inForceBound))
		}
	}
	return late
}

func (w *configurationWatch) times() []time.Duration {
	var times []time.Duration
	for _, c := range w.changes {
		if !c.inForce.IsZero() {
			times = append(times, c.inForce.Sub(c.at))
		}
	}
	slices.Sort(times)
	return times
}

// operate lets several operators change a tenant's account at the same time
// through different nodes until the load ends.
func (r *run) operate(ctx context.Context, t *Tenant) {
	for i := range operators {
		r.events.Go(func() {
			for number := 0; ; number++ {
				select {
				case <-r.loadEnded:
					return
				case <-ctx.Done():
					return
				case <-time.After(changePause):
				}
				n := t.Nodes[(i+number)%len(t.Nodes)]
				if err := r.changeAccount(ctx, t, n, i*1000+number); err != nil {
					r.progress.line("operator %d: %v", i+1, err)
				}
			}
		})
	}
}

// changeAccount makes one change as an operator does: read, edit, write if
// nobody else came first.
func (r *run) changeAccount(ctx context.Context, t *Tenant, n *node.Node, number int) error {
	api := client.New("http://"+n.AdminAddress(), "", nil)
	object := client.Account(string(t.Account.Name))
	document, err := api.Get(ctx, object)
	if err != nil {
		return errors.Wrap(err, "read the account")
	}
	request := wire.ChangeRequest{Text: edited(document.Text, number), Note: "demo"}
	answer, err := api.Put(ctx, object, client.At(document.Sequence), request)
	var refusal *wire.Error
	if errors.As(err, &refusal) && refusal.Code == result.RevisionConflict {
		r.configuration.refused()
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "change the account")
	}
	r.configuration.accepted(t.Account.Name, answer.Change.Sequence)
	return nil
}

// editMark starts the line that an operator of the demonstration changes.
const editMark = "; changed by operator, number "

// edited returns a document with another comment at its end: a change of its
// text and so of its revision, but not of the limits that the checker knows.
func edited(text string, number int) string {
	if at := strings.Index(text, editMark); at >= 0 {
		text = text[:at]
	}
	return fmt.Sprintf("%s%s%d\n", text, editMark, number)
}
