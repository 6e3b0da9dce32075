package demo

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/node"
)

const (
	// inForceBound is how long an accepted change may take until it is in
	// force on every node that can be reached.
	inForceBound = 8 * time.Second
	// revisionPoll is how often every node is asked for its revisions.
	revisionPoll = 20 * time.Millisecond
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
	mu       sync.Mutex
	last     map[nodeAccount]uint64
	wentBack []string
	checked  int
	changes  []*change
	// conflicts counts changes refused as another operator came first.
	conflicts int
}

func newConfigurationWatch() *configurationWatch {
	return &configurationWatch{last: make(map[nodeAccount]uint64)}
}

// start watches until the returned function is called or the context ends;
// the function returns when the watch has ended.
func (w *configurationWatch) start(ctx context.Context, world *World) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var ended sync.WaitGroup
	ended.Go(func() { w.run(ctx, world) })
	return func() {
		cancel()
		ended.Wait()
	}
}

func (w *configurationWatch) run(ctx context.Context, world *World) {
	ticker := time.NewTicker(revisionPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.readAll(world, time.Now())
		}
	}
}

// readAll reads the revisions of all nodes that run.
func (w *configurationWatch) readAll(world *World, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	lowest := make(map[model.AccountName]uint64)
	for _, t := range world.Tenants {
		for _, n := range t.Nodes {
			if n.Running() {
				w.readNode(n, lowest)
			}
		}
	}
	for _, c := range w.changes {
		if c.inForce.IsZero() && lowest[c.account] >= c.sequence {
			c.inForce = now
		}
	}
}

// readNode notes the revisions of one node and lowers the lowest ones to them.
func (w *configurationWatch) readNode(n *node.Node, lowest map[model.AccountName]uint64) {
	for _, a := range n.Accounts() {
		key := nodeAccount{n, a.Account}
		w.checked++
		if a.Revision < w.last[key] {
			w.wentBack = append(w.wentBack, fmt.Sprintf("%s went from %d to %d for %s", n.VM().ID, w.last[key], a.Revision, a.Account))
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

// late returns the changes that were not in force everywhere within the bound.
func (w *configurationWatch) late() []string {
	var late []string
	for _, c := range w.changes {
		if c.inForce.IsZero() || c.inForce.Sub(c.at) > inForceBound {
			late = append(late, fmt.Sprintf("%s at sequence %d was not in force everywhere within %s", c.account, c.sequence, inForceBound))
		}
	}
	return late
}

// times returns how long the changes that are in force took, ascending.
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
