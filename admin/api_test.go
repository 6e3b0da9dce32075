package admin_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/admin"
	"github.com/yuccaroute/yuccaroute/admin/client"
	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/config/changelog"
	"github.com/yuccaroute/yuccaroute/store/faultkv"
)

// TestDayOfAnOperator follows the verbs in the order in which people use them.
func TestDayOfAnOperator(t *testing.T) {
	f := newFixture(t, nil)
	f.seed(t)
	ben := f.as(t, "ben")
	ctx := t.Context()
	account := client.Account("daehan")

	document, err := ben.Get(ctx, account)
	if err != nil || document.Sequence != 2 || document.FromMemory {
		t.Fatalf("get: %+v, %v", document, err)
	}
	text := reweighted("0.7", "0.3")
	preview, err := ben.DryRun(ctx, account, client.At(2), wire.ChangeRequest{Text: text})
	if err != nil || len(preview.Accounts) != 1 || len(preview.Accounts[0].Values) != 2 {
		t.Fatalf("dry run: %+v, %v", preview, err)
	}
	changed, err := ben.Put(ctx, account, client.At(2), wire.ChangeRequest{Text: text, Note: "less weight on latency"})
	if err != nil || changed.Change.Sequence != 3 || changed.Change.Who != "ben" {
		t.Fatalf("put: %+v, %v", changed, err)
	}
	outcome, err := ben.Outcome(ctx, account, changed.Change.ID)
	if err != nil || outcome.State != wire.OutcomeInForce || outcome.Change.Sequence != 3 {
		t.Errorf("outcome: %+v, %v", outcome, err)
	}
	_, err = ben.RollBack(ctx, account, client.At(3), wire.RollBackRequest{ToSequence: 2})
	if err != nil {
		t.Errorf("roll back: %v", err)
	}
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	plan := wire.DrainRequest{Place: "kr-seoul-a", Start: start, End: start.Add(time.Hour), Until: start.Add(2 * time.Hour)}
	if _, err = ben.PlanDrain(ctx, "daehan", "tuesday", client.At(4), plan); err != nil {
		t.Errorf("plan drain: %v", err)
	}
	drains, err := ben.Drains(ctx, "daehan")
	if err != nil || len(drains.Drains) != 1 || drains.Sequence != 5 {
		t.Errorf("drains: %+v, %v", drains, err)
	}
	if _, err = ben.CancelDrain(ctx, "daehan", "tuesday", client.At(5), "", ""); err != nil {
		t.Errorf("cancel drain: %v", err)
	}
	history, err := ben.History(ctx, account, 0, 0)
	if err != nil || len(history.Changes) != 5 || history.Changes[3].Note != "less weight on latency" {
		t.Errorf("history: %+v, %v", history, err)
	}
	values, err := ben.Values(ctx, "daehan")
	if err != nil || len(values.Values) == 0 || !strings.Contains(values.Merged, "; template") {
		t.Errorf("values: %v", err)
	}
	list, err := ben.Accounts(ctx)
	if err != nil || len(list.Accounts) != 1 || list.Accounts[0].Template != "dealer" {
		t.Errorf("list: %+v, %v", list, err)
	}
}

func TestConflictNamesTheOther(t *testing.T) {
	f := newFixture(t, nil)
	f.seed(t)
	account := client.Account("daehan")
	if _, err := f.as(t, "olga").Put(t.Context(), account, client.At(2), wire.ChangeRequest{Text: reweighted("0.7", "0.3")}); err != nil {
		t.Fatal(err)
	}
	_, err := f.as(t, "ben").Put(t.Context(), account, client.At(2), wire.ChangeRequest{Text: reweighted("0.6", "0.4")})
	answer := wantCode(t, err, result.RevisionConflict)
	if answer.Conflict == nil || answer.Conflict.Current != 3 || answer.Conflict.Changes[0].Who != "olga" {
		t.Errorf("got %+v", answer.Conflict)
	}
}

func TestInvalidChangeListsAllProblems(t *testing.T) {
	f := newFixture(t, nil)
	f.seed(t)
	text := strings.Replace(reweighted("7", "0.2"), "link_in_rps = 1800", "link_in_rps = many", 1)
	_, err := f.as(t, "ben").Put(t.Context(), client.Account("daehan"), client.At(2), wire.ChangeRequest{Text: text})
	answer := wantCode(t, err, result.InvalidChange)
	if len(answer.Problems) != 2 || answer.Problems[0].Permitted == "" || answer.Outcome != "not-run" {
		t.Errorf("got %+v", answer)
	}
}

// TestScope: a team's token must not reach another team's account nor the
// template that both share, and a reader must not change anything.
func TestScope(t *testing.T) {
	f := newFixture(t, nil)
	f.seed(t)
	ctx := t.Context()
	change := wire.ChangeRequest{Text: reweighted("0.7", "0.3")}
	ben := f.as(t, "ben")
	_, err := ben.Put(ctx, client.Template("dealer"), client.Overwrite(), change)
	wantCode(t, err, result.Forbidden)
	_, err = ben.Get(ctx, client.Account("other"))
	wantCode(t, err, result.Forbidden)
	_, err = ben.Identities(ctx)
	wantCode(t, err, result.Forbidden)
	rita := f.as(t, "rita")
	_, err = rita.Put(ctx, client.Account("daehan"), client.Overwrite(), change)
	wantCode(t, err, result.Forbidden)
	if _, err = rita.Get(ctx, client.Account("daehan")); err != nil {
		t.Error(err)
	}
	_, err = client.New(f.url, "yuccaroute_guess", nil).Whoami(ctx)
	wantCode(t, err, result.Unauthenticated)
	_, err = client.New(f.url, "", nil).Whoami(ctx)
	wantCode(t, err, result.Unauthenticated)
}

// TestNoPreconditionNoChange: a change that says nothing about what its author
// has seen could undo somebody else's unseen.
func TestNoPreconditionNoChange(t *testing.T) {
	f := newFixture(t, nil)
	f.seed(t)
	_, err := f.as(t, "olga").Put(t.Context(), client.Account("daehan"), client.Match{}, wire.ChangeRequest{Text: reweighted("0.7", "0.3")})
	wantCode(t, err, result.BadRequest)
}

// While the store is out, reads must answer from memory with their age, changes be refused as not
// run, and what is in force on the node be shown.
func TestOutage(t *testing.T) {
	live := liveAccounts{{Account: &model.Account{Name: "daehan"}, Epoch: 1, Sequence: 2, AgeMS: 70}}
	f := newFixture(t, func(o *admin.Options) { o.Live = live })
	f.seed(t)
	ben := f.as(t, "ben")
	f.kv.SetOutage(true)
	document, err := ben.Get(t.Context(), client.Account("daehan"))
	if err != nil || !document.FromMemory || document.Text == "" {
		t.Errorf("get: %+v, %v", document, err)
	}
	_, err = ben.Put(t.Context(), client.Account("daehan"), client.At(2), wire.ChangeRequest{Text: reweighted("0.7", "0.3")})
	if answer := wantCode(t, err, result.StoreUnavailable); answer.Outcome != "not-run" {
		t.Errorf("got %+v", answer)
	}
	before := f.kv.Counts().Total()
	got, err := ben.LiveAccount(t.Context(), "daehan")
	if err != nil || got.AgeMS != 70 || f.kv.Counts().Total() != before {
		t.Errorf("live: %+v, %v", got, err)
	}
}

type liveAccounts []wire.LiveAccount

func (l liveAccounts) Live() []wire.LiveAccount { return l }

// A change whose answer is lost in an outage must be reported as unknown with its identifier, which
// later tells the outcome, and a repeat must be recognised.
func TestUnknownOutcome(t *testing.T) {
	f := newFixture(t, func(o *admin.Options) { o.Timeout = 300 * time.Millisecond })
	f.seed(t)
	out := false
	f.kv.SetChooser(func(c faultkv.Call) faultkv.Decision {
		switch {
		case out:
			return faultkv.Decision{Fault: faultkv.Refuse}
		case c.Kind == faultkv.KindSwap && strings.HasPrefix(c.Key, changelog.HeadPrefix):
			out = true
			return faultkv.Decision{Fault: faultkv.LoseAnswer}
		}
		return faultkv.Decision{}
	})
	ben := f.as(t, "ben")
	change := wire.ChangeRequest{ID: "change-with-id", Text: reweighted("0.7", "0.3")}
	_, err := ben.Put(t.Context(), client.Account("daehan"), client.At(2), change)
	answer := wantCode(t, err, result.ChangeUnknown)
	if answer.ChangeID != change.ID || answer.Outcome != "unknown" {
		t.Errorf("got %+v", answer)
	}
	f.kv.SetChooser(nil)
	outcome, err := ben.Outcome(t.Context(), client.Account("daehan"), change.ID)
	if err != nil || outcome.State != wire.OutcomeInForce {
		t.Errorf("outcome: %+v, %v", outcome, err)
	}
	again, err := ben.Put(t.Context(), client.Account("daehan"), client.At(2), change)
	if err != nil || !again.Repeated {
		t.Errorf("repeat: %+v, %v", again, err)
	}
}

// TestLostConnection: the node ends before it answers. The client must not say
// that nothing was changed.
func TestLostConnection(t *testing.T) {
	f := newFixture(t, nil)
	f.seed(t)
	ctx, cancel := context.WithCancel(t.Context())
	gaveUp := make(chan struct{})
	f.kv.SetChooser(func(c faultkv.Call) faultkv.Decision {
		cancel()
		<-gaveUp
		return faultkv.Decision{}
	})
	_, err := f.as(t, "ben").Put(ctx, client.Account("daehan"), client.At(2), wire.ChangeRequest{Text: reweighted("0.7", "0.3")})
	close(gaveUp)
	answer := wantCode(t, err, result.ChangeUnknown)
	if answer.ChangeID == "" {
		t.Error("no identifier to ask by")
	}
	_, err = client.New("http://127.0.0.1:1", "", nil).Put(t.Context(), client.Account("daehan"), client.At(2), wire.ChangeRequest{Text: "x"})
	var unknown *wire.Error
	if err == nil || errors.As(err, &unknown) {
		t.Errorf("a request that was never sent reads as %v", err)
	}
}

// TestIdentitiesKeepAnOwner: a document without an owner would lock everybody
// out of it.
func TestIdentitiesKeepAnOwner(t *testing.T) {
	f := newFixture(t, nil)
	olga := f.as(t, "olga")
	hash := strings.Repeat("ab", 32)
	_, err := olga.PutIdentities(t.Context(), client.Created(), "[identity x]\ntoken_sha256 = "+hash+"\nrole = operator\n")
	wantCode(t, err, result.InvalidChange)
	put, err := olga.PutIdentities(t.Context(), client.Created(), "[identity x]\ntoken_sha256 = "+hash+"\nrole = owner\n")
	if err != nil {
		t.Fatal(err)
	}
	got, err := olga.Identities(t.Context())
	if err != nil || got.Revision != put.Revision {
		t.Errorf("got %+v, %v", got, err)
	}
	_, err = olga.PutIdentities(t.Context(), client.Created(), "[identity x]\ntoken_sha256 = "+hash+"\nrole = owner\n")
	wantCode(t, err, result.RevisionConflict)
}

// TestOnlyAnOwnerGivesUpChanges: to adopt the store's state puts accepted
// changes out of force.
func TestOnlyAnOwnerGivesUpChanges(t *testing.T) {
	f := newFixture(t, nil)
	f.seed(t)
	_, err := f.as(t, "rita").AdoptStore(t.Context(), "dealer", wire.AdoptRequest{})
	wantCode(t, err, result.Forbidden)
	adopted, err := f.as(t, "olga").AdoptStore(t.Context(), "dealer", wire.AdoptRequest{Note: "restored on purpose"})
	if err != nil || adopted.Epoch != 2 || adopted.Sequence != 3 {
		t.Errorf("got %+v, %v", adopted, err)
	}
}
