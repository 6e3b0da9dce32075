package changelog_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/config"
	"github.com/yuccaroute/yuccaroute/config/changelog"
	"github.com/yuccaroute/yuccaroute/config/examples"
	"github.com/yuccaroute/yuccaroute/store"
	"github.com/yuccaroute/yuccaroute/store/faultkv"
	"github.com/yuccaroute/yuccaroute/store/memkv"
)

func templateChange(id string, text []byte, ifSequence uint64) changelog.Change {
	return changelog.Change{
		ID: id, Who: "ana", Template: "dealer", Kind: changelog.KindTemplate, Name: "dealer",
		Text: text, IfSequence: ifSequence,
	}
}

func accountChange(id string, text []byte, ifSequence uint64) changelog.Change {
	return changelog.Change{
		ID: id, Who: "ben", Template: "dealer", Kind: changelog.KindAccount, Name: "daehan",
		Text: text, IfSequence: ifSequence,
	}
}

func withWeight(latency string) []byte {
	text := strings.Replace(string(examples.Text("daehan")), "latency_weight = 0.8", "latency_weight = "+latency, 1)
	headroom := map[string]string{"0.7": "0.3", "0.6": "0.4"}[latency]
	return []byte(strings.Replace(text, "headroom_weight = 0.2", "headroom_weight = "+headroom, 1))
}

func mustApply(t *testing.T, log *changelog.Log, c changelog.Change) changelog.Result {
	t.Helper()
	result, err := log.Apply(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// seed puts the example template and account in force, at sequences 1 and 2.
func seed(t *testing.T, log *changelog.Log) {
	t.Helper()
	mustApply(t, log, templateChange("seed-template", examples.Text("dealer"), 0))
	mustApply(t, log, accountChange("seed-account", examples.Text("daehan"), 0))
}

func TestReadHistoryRollBack(t *testing.T) {
	log := changelog.New(memkv.New(memkv.Options{}), changelog.Options{})
	seed(t, log)
	mustApply(t, log, accountChange("change-07", withWeight("0.7"), 2))
	mustApply(t, log, accountChange("change-06", withWeight("0.6"), 3))
	back := accountChange("back-to-2", nil, 4)
	if _, err := log.RollBack(t.Context(), back, 2); err != nil {
		t.Fatal(err)
	}
	cut, err := log.Read(t.Context(), "dealer")
	if err != nil {
		t.Fatal(err)
	}
	account := cut.Account("daehan")
	if account.Sequence != 5 || string(account.Text) != string(examples.Text("daehan")) {
		t.Errorf("got sequence %d", account.Sequence)
	}
	history, err := log.History(t.Context(), "dealer", changelog.Filter{Kind: changelog.KindAccount, Limit: 3})
	if err != nil || len(history) != 3 || history[0].ID != "back-to-2" || history[2].ID != "change-07" {
		t.Errorf("got %+v, %v", history, err)
	}
	names, err := log.Templates(t.Context())
	if err != nil || len(names) != 1 || names[0] != "dealer" {
		t.Errorf("got %v, %v", names, err)
	}
}

func TestConflictTellsWhatChangedAndByWhom(t *testing.T) {
	log := changelog.New(memkv.New(memkv.Options{}), changelog.Options{})
	seed(t, log)
	mustApply(t, log, accountChange("change-07", withWeight("0.7"), 2))
	_, err := log.Apply(t.Context(), accountChange("change-06", withWeight("0.6"), 2))
	var conflict *changelog.ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("got %v", err)
	}
	if conflict.Current != 3 || len(conflict.Changes) != 1 || conflict.Changes[0].Who != "ben" {
		t.Errorf("got %+v", conflict)
	}
}

// Of two changes that are each valid with what both operators read, but not together, the second
// must be refused.
func TestRaceOfTemplateAndAccount(t *testing.T) {
	log := changelog.New(memkv.New(memkv.Options{}), changelog.Options{})
	seed(t, log)
	narrowed := strings.Replace(string(examples.Text("dealer")), "[excess]", "[drains]\nlongest_seconds = 600\n\n[excess]", 1)
	drained := string(examples.Text("daehan")) + "\n[drain n]\nplace = kr-seoul-a\nstart = 2026-01-01T00:00:00Z\nend = 2026-01-01T01:00:00Z\nuntil = 2026-01-01T02:00:00Z\n"
	mustApply(t, log, accountChange("plan-drain", []byte(drained), 2))
	_, err := log.Apply(t.Context(), templateChange("narrow-drains", []byte(narrowed), 1))
	var problems config.Problems
	if !errors.As(err, &problems) || !strings.Contains(err.Error(), "account daehan") {
		t.Errorf("got %v", err)
	}
}

// swaps returns a chooser that gives the swaps of head keys these faults in
// order.
func swaps(faults ...faultkv.Decision) faultkv.Chooser {
	next := 0
	return func(c faultkv.Call) faultkv.Decision {
		if c.Kind != faultkv.KindSwap || !strings.HasPrefix(c.Key, changelog.HeadPrefix) || next == len(faults) {
			return faultkv.Decision{}
		}
		next++
		return faults[next-1]
	}
}

// A change whose answer is lost must be reported as in force, and a repeat under the same
// identifier must not make it again.
func TestLostAnswer(t *testing.T) {
	kv := faultkv.New(memkv.New(memkv.Options{}), nil)
	log := changelog.New(kv, changelog.Options{})
	seed(t, log)
	kv.SetChooser(swaps(faultkv.Decision{Fault: faultkv.LoseAnswer}))
	result := mustApply(t, log, accountChange("change-07", withWeight("0.7"), 2))
	if result.Record.Sequence != 3 || result.Repeated {
		t.Errorf("got %+v", result)
	}
	result = mustApply(t, log, accountChange("change-07", withWeight("0.7"), 2))
	if result.Record.Sequence != 3 || !result.Repeated {
		t.Errorf("repeat: got %+v", result)
	}
	_, err := log.Apply(t.Context(), accountChange("change-07", withWeight("0.6"), 3))
	var reused *changelog.ReusedError
	if !errors.As(err, &reused) {
		t.Errorf("reuse: got %v", err)
	}
}

// A delayed swap that arrives after the change was repeated and overtaken must change nothing.
func TestLateWriteCannotUndo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := faultkv.New(memkv.New(memkv.Options{}), nil)
		log := changelog.New(kv, changelog.Options{})
		seed(t, log)
		kv.SetChooser(swaps(faultkv.Decision{Fault: faultkv.ApplyLate, LateBy: time.Minute}))
		mustApply(t, log, accountChange("change-07", withWeight("0.7"), 2))
		mustApply(t, log, accountChange("change-06", withWeight("0.6"), 3))
		kv.WaitLate()
		cut, err := log.Read(t.Context(), "dealer")
		if err != nil {
			t.Fatal(err)
		}
		if cut.Sequence != 4 || string(cut.Account("daehan").Text) != string(withWeight("0.6")) {
			t.Errorf("the late write took effect: sequence %d", cut.Sequence)
		}
	})
}

// A change whose swap is lost in an outage must be reported as unknown, with the identifier that
// tells its outcome afterwards.
func TestUnknownIsSaid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := faultkv.New(memkv.New(memkv.Options{}), nil)
		log := changelog.New(kv, changelog.Options{})
		seed(t, log)
		choose := swaps(faultkv.Decision{Fault: faultkv.LoseAnswer})
		out := false
		kv.SetChooser(func(c faultkv.Call) faultkv.Decision {
			if out {
				return faultkv.Decision{Fault: faultkv.Refuse}
			}
			d := choose(c)
			out = d.Fault == faultkv.LoseAnswer
			return d
		})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err := log.Apply(ctx, accountChange("change-07", withWeight("0.7"), 2))
		var unknown *changelog.UnknownError
		if !errors.As(err, &unknown) || unknown.ID != "change-07" || errors.Is(err, store.ErrUnavailable) {
			t.Fatalf("got %v", err)
		}
		kv.SetChooser(nil)
		record, err := log.Outcome(t.Context(), "dealer", "change-07")
		if err != nil || record.Sequence != 3 {
			t.Errorf("got %+v, %v", record, err)
		}
	})
}

// TestOutageRefuses: while the store is out a change is refused as not run.
func TestOutageRefuses(t *testing.T) {
	kv := faultkv.New(memkv.New(memkv.Options{}), nil)
	log := changelog.New(kv, changelog.Options{})
	seed(t, log)
	kv.SetOutage(true)
	_, err := log.Apply(t.Context(), accountChange("change-07", withWeight("0.7"), 2))
	if !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("got %v", err)
	}
}

// A change repeated after the head no longer lists it must be found among the audit records and
// not undo later changes.
func TestRepeatLongAfter(t *testing.T) {
	log := changelog.New(memkv.New(memkv.Options{}), changelog.Options{})
	seed(t, log)
	first := accountChange("first-change", withWeight("0.7"), changelog.AnySequence)
	mustApply(t, log, first)
	for i := range 50 {
		text := withWeight([]string{"0.6", "0.7"}[i%2])
		mustApply(t, log, accountChange(fmt.Sprintf("later-%04d", i), text, changelog.AnySequence))
	}
	result := mustApply(t, log, first)
	if !result.Repeated || result.Record.Sequence != 3 {
		t.Errorf("got %+v", result)
	}
	history, err := log.History(t.Context(), "dealer", changelog.Filter{})
	if err != nil || len(history) != 53 {
		t.Errorf("history has %d records, %v", len(history), err)
	}
}

// TestStoreWentBack: the store is restored from a copy that lacks the last
// change. A node that has seen it must not take the older head, nor change it.
func TestStoreWentBack(t *testing.T) {
	kv := memkv.New(memkv.Options{})
	log := changelog.New(kv, changelog.Options{})
	seed(t, log)
	old, err := kv.Get(t.Context(), "config/head/dealer")
	if err != nil {
		t.Fatal(err)
	}
	mustApply(t, log, accountChange("change-07", withWeight("0.7"), 2))
	now, _ := kv.Get(t.Context(), "config/head/dealer")
	if _, err := kv.Swap(t.Context(), "config/head/dealer", old.Value, now.Revision, 0); err != nil {
		t.Fatal(err)
	}
	var back *changelog.WentBackError
	if _, err := log.Read(t.Context(), "dealer"); !errors.As(err, &back) {
		t.Errorf("read: got %v", err)
	}
	if _, err := log.Apply(t.Context(), accountChange("change-06", withWeight("0.6"), 2)); !errors.As(err, &back) {
		t.Errorf("change: got %v", err)
	}
}

func TestAccountBelongsToOneTemplate(t *testing.T) {
	log := changelog.New(memkv.New(memkv.Options{}), changelog.Options{})
	seed(t, log)
	other := strings.Replace(string(examples.Text("dealer")), "name = dealer", "name = other", 1)
	c := templateChange("other-template", []byte(other), 0)
	c.Template, c.Name = "other", "other"
	mustApply(t, log, c)
	moved := strings.Replace(string(examples.Text("daehan")), "template = dealer", "template = other", 1)
	a := accountChange("move-account", []byte(moved), 0)
	a.Template = "other"
	var owned *changelog.OwnedError
	if _, err := log.Apply(t.Context(), a); !errors.As(err, &owned) || owned.Owner != "dealer" {
		t.Errorf("got %v", err)
	}
}

// A lost swap that another change has overtaken can never take effect: it must be reported as not
// made, and not as unknown.
func TestLostThenOvertaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := memkv.New(memkv.Options{})
		other := changelog.New(inner, changelog.Options{})
		seed(t, other)
		lost := swaps(faultkv.Decision{Fault: faultkv.Drop})
		kv := faultkv.New(inner, func(c faultkv.Call) faultkv.Decision {
			decision := lost(c)
			if decision.Fault == faultkv.Drop {
				mustApply(t, other, accountChange("change-06", withWeight("0.6"), 2))
			}
			return decision
		})
		log := changelog.New(kv, changelog.Options{})
		_, err := log.Apply(t.Context(), accountChange("change-07", withWeight("0.7"), 2))
		var conflict *changelog.ConflictError
		if !errors.As(err, &conflict) || conflict.Changes[0].ID != "change-06" {
			t.Errorf("got %v", err)
		}
	})
}

// A node must put back the changes that a store restored from an older copy lacks, as a state newer
// than both.
func TestRepair(t *testing.T) {
	kv := &replaceable{memkv.New(memkv.Options{})}
	log := changelog.New(kv, changelog.Options{})
	seed(t, log)
	copied, err := kv.List(t.Context(), "config/")
	if err != nil {
		t.Fatal(err)
	}
	mustApply(t, log, accountChange("change-07", withWeight("0.7"), 2))
	second := accountChange("add-second", accountText("x", "second", false), 0)
	second.Name = "second"
	mustApply(t, log, second)
	restored := memkv.New(memkv.Options{})
	for _, entry := range copied.Entries {
		if _, err := restored.Swap(t.Context(), entry.Key, entry.Value, 0, 0); err != nil {
			t.Fatal(err)
		}
	}
	kv.KV = restored
	if err := log.Repair(t.Context(), "dealer"); err != nil {
		t.Fatal(err)
	}
	fresh := changelog.New(kv, changelog.Options{})
	cut, err := fresh.Read(t.Context(), "dealer")
	if err != nil {
		t.Fatal(err)
	}
	if cut.Epoch != 2 || cut.Sequence != 4 || cut.Account("second") == nil || string(cut.Account("daehan").Text) != string(withWeight("0.7")) {
		t.Errorf("got %+v", cut.Version)
	}
	history, err := fresh.History(t.Context(), "dealer", changelog.Filter{})
	if err != nil || len(history) != 4 {
		t.Errorf("history has %d records, %v", len(history), err)
	}
	mustApply(t, fresh, accountChange("change-06", withWeight("0.6"), 3))
}

// A change that brings back a document which a restored store lacks must write it, or no other node
// could read the account.
func TestDocumentLostByARestore(t *testing.T) {
	kv := &replaceable{memkv.New(memkv.Options{})}
	log := changelog.New(kv, changelog.Options{})
	seed(t, log)
	mustApply(t, log, accountChange("change-07", withWeight("0.7"), 2))
	mustApply(t, log, accountChange("change-06", withWeight("0.6"), 3))
	key := "config/object/" + changelog.Hash(withWeight("0.7"))
	entry, err := kv.Get(t.Context(), key)
	if err != nil {
		t.Fatal(err)
	}
	if err := kv.Delete(t.Context(), key, entry.Revision); err != nil {
		t.Fatal(err)
	}
	mustApply(t, log, accountChange("again-07", withWeight("0.7"), 4))
	if _, err := changelog.New(kv, changelog.Options{}).Read(t.Context(), "dealer"); err != nil {
		t.Error(err)
	}
}

// replaceable is a store whose content can be replaced, as by a restore.
type replaceable struct{ store.KV }

// A newer state must not be put back over a change made after a restore: an operator has to decide.
func TestForkIsNotRepaired(t *testing.T) {
	kv := &replaceable{memkv.New(memkv.Options{})}
	log := changelog.New(kv, changelog.Options{})
	seed(t, log)
	mustApply(t, log, accountChange("change-07", withWeight("0.7"), 2))
	kv.KV = memkv.New(memkv.Options{})
	unaware := changelog.New(kv, changelog.Options{})
	seed(t, unaware)
	mustApply(t, unaware, accountChange("change-06", withWeight("0.6"), 2))
	var fork *changelog.ForkError
	if err := log.Repair(t.Context(), "dealer"); !errors.As(err, &fork) {
		t.Fatalf("got %v", err)
	}
	version, err := log.Adopt(t.Context(), templateChange("adopt-store", nil, 0))
	if err != nil || version != (changelog.Version{Epoch: 2, Sequence: 4}) {
		t.Fatalf("got %v, %v", version, err)
	}
	cut, err := log.Read(t.Context(), "dealer")
	if err != nil || string(cut.Account("daehan").Text) != string(withWeight("0.6")) {
		t.Errorf("got %v", err)
	}
}
