package scenario

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/bench/report"
	"github.com/yuccaroute/yuccaroute/config/changelog"
	"github.com/yuccaroute/yuccaroute/config/examples"
	"github.com/yuccaroute/yuccaroute/lookup/blocks/blocktest"
	"github.com/yuccaroute/yuccaroute/node"
)

const (
	// changes is how many changes of one account are timed.
	changes = 10
	// changePoll is how often the nodes are asked for the revision in force.
	changePoll = 2 * time.Millisecond
	// changeTimeout bounds the wait for one change.
	changeTimeout = 30 * time.Second
)

// commitAll writes the example templates and as many accounts as asked for,
// copies of the two examples in turn, each with so many caller blocks more.
func (w *fleetWorld) commitAll(ctx context.Context, accounts, blocks int) error {
	w.log = changelog.New(w.store, changelog.Options{})
	pairs := examples.Pairs()
	for _, pair := range pairs {
		if _, err := w.apply(ctx, changelog.KindTemplate, pair.Template, pair.Template, examples.Text(pair.Template)); err != nil {
			return err
		}
	}
	for i := range accounts {
		pair := pairs[i%len(pairs)]
		name := pair.Account
		if i >= len(pairs) {
			name = fmt.Sprintf("%s-%d", pair.Account, i/len(pairs))
		}
		if _, err := w.apply(ctx, changelog.KindAccount, pair.Template, name, accountText(pair, name, blocks, uint64(i))); err != nil {
			return err
		}
		w.accounts = append(w.accounts, model.AccountName(name))
	}
	return nil
}

// accountText is an example account under another name. Its further blocks
// belong to its last region, whose section is the last of the document.
func accountText(pair examples.Pair, name string, blocks int, seed uint64) []byte {
	text := bytes.Replace(examples.Text(pair.Account), []byte("name = "+pair.Account), []byte("name = "+name), 1)
	text = bytes.TrimRight(text, "\n")
	for _, block := range blocktest.New(blocks, 1, seed).Blocks {
		text = fmt.Appendf(text, ", %s", block.Prefix)
	}
	return append(text, '\n')
}

func (w *fleetWorld) apply(ctx context.Context, kind changelog.Kind, template, name string, text []byte) (changelog.Result, error) {
	w.changeNumber++
	return w.log.Apply(ctx, changelog.Change{
		ID: fmt.Sprintf("bench-%08d", w.changeNumber), Who: "bench",
		Kind: kind, Template: template, Name: name, Text: text, IfSequence: changelog.AnySequence,
	})
}

// measureChanges commits changes one after the other and times each until
// every node has it in force.
func (w *fleetWorld) measureChanges(ctx context.Context) ([]report.Metric, error) {
	pair := examples.Pairs()[0]
	var longest, sum time.Duration
	before := w.store.Counts()
	for i := range changes {
		text := bytes.ReplaceAll(examples.Text(pair.Account), []byte("capacity_rps = 3600"), fmt.Appendf(nil, "capacity_rps = %d", 3700+i))
		started := time.Now()
		result, err := w.apply(ctx, changelog.KindAccount, pair.Template, pair.Account, text)
		if err != nil {
			return nil, err
		}
		if err := w.waitRevision(ctx, model.AccountName(pair.Account), result.Version.Sequence); err != nil {
			return nil, err
		}
		took := time.Since(started)
		longest = max(longest, took)
		sum += took
	}
	reads, writes := readsAndWrites(w.store.Counts().Sub(before))
	return []report.Metric{
		{Name: "reads a change", Unit: "calls", Value: reads / changes},
		{Name: "writes a change", Unit: "calls", Value: writes / changes},
		{Name: "change in force, mean", Unit: "ms", Value: sum.Seconds() * 1000 / changes},
		{Name: "change in force, longest", Unit: "ms", Value: longest.Seconds() * 1000},
	}, nil
}

func (w *fleetWorld) waitRevision(ctx context.Context, account model.AccountName, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	for _, n := range w.nodes {
		for inForce(n.Status().Accounts, account) < revision {
			if err := pause(ctx, changePoll); err != nil {
				return err
			}
		}
	}
	return nil
}

func inForce(accounts []node.AccountRevision, name model.AccountName) uint64 {
	for _, a := range accounts {
		if a.Account == name {
			return a.Revision
		}
	}
	return 0
}
