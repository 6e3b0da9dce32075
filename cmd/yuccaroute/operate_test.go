package main

import (
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/cmd/internal/operator"
	"github.com/yuccaroute/yuccaroute/cmd/internal/program"
)

const (
	fewerLink = "link_in_rps = 1700"
	usualLink = "link_in_rps = 1800"
)

// An operator must be able to change, explain and roll back an account and drain a place, and a
// colleague with an old state must be told who changed what.
func TestOperateAccount(t *testing.T) {
	nodes := startSystem(t)
	o := toolFor(t, nodes...)
	exported := o.must(program.ExitOK, "export", "daehan").out
	file := writeFile(t, "daehan.ini", exported)
	wantText(t, o.must(program.ExitOK, "apply", "-f", file).out, "no difference")
	o.must(program.ExitOK, "diff", "-f", file)

	changed := writeFile(t, "changed.ini", strings.ReplaceAll(exported, usualLink, fewerLink))
	wantText(t, o.must(program.ExitFailed, "diff", "-f", changed).out, "-"+usualLink, "+"+fewerLink)
	wantText(t, o.must(program.ExitOK, "apply", "-f", changed, "--dry-run").out, "1800", "1700")
	o.must(program.ExitOK, "account", "apply", "-f", changed, "--note", "smaller link", "--wait", "60s", "--write-back")
	wantText(t, o.must(program.ExitOK, "apply", "-f", changed).out, "no difference")
	wantSame(t, o.must(program.ExitOK, "export", "daehan").out, changed)
	var status wire.Spreading
	o.read(&status, "account", "status", "daehan", "--wait", "60s")
	o.must(program.ExitUsage, "account", "values", "daehan", "--from", "nowhere")
	if !status.Everywhere || status.InForce != len(nodes) {
		t.Errorf("in force on %d of %d nodes, everywhere is %v", status.InForce, len(nodes), status.Everywhere)
	}
	wantText(t, o.must(program.ExitOK, "account", "values", "daehan").out, "1700", "template")
	wantText(t, o.must(program.ExitOK, "account", "explain", "daehan").out, "dealer-desk")
	wantText(t, o.must(program.ExitOK, "live").out, "daehan", "alpenvlies")

	var history wire.History
	o.read(&history, "account", "history", "daehan")
	mine := history.Changes[0]
	if mine.Note != "smaller link" || len(history.Changes) != 2 {
		t.Fatalf("history: %+v", history)
	}
	wantText(t, o.must(program.ExitOK, "outcome", mine.ID).out, wire.OutcomeInForce)
	o.must(program.ExitUnknown, "outcome", operator.NewChangeID(operator.Object{Kind: operator.KindAccount, Name: "daehan"}))

	stale := writeFile(t, "stale.ini", exported+"\n; a colleague's remark\n")
	conflict := o.must(program.ExitFailed, "apply", "-f", stale)
	wantText(t, conflict.notes, "smaller link", "anonymous", mine.ID, "-"+fewerLink)
	wantText(t, o.must(program.ExitOK, "export", "daehan").out, fewerLink)

	before := strconv.FormatUint(history.Changes[1].Sequence, 10)
	wantText(t, o.must(program.ExitOK, "account", "get", "daehan", "--at", before).out, usualLink)
	o.must(program.ExitFailed, "account", "get", "daehan", "--at", "1")
	preview := o.must(program.ExitOK, "account", "rollback", "daehan", "--to", before, "--dry-run")
	wantText(t, preview.notes, "-"+fewerLink, "+"+usualLink)
	wantText(t, preview.out, "1700", "1800")
	wantText(t, o.must(program.ExitOK, "export", "daehan").out, fewerLink)
	o.must(program.ExitOK, "account", "rollback", "daehan", "--to", before, "--wait", "60s")
	wantText(t, o.must(program.ExitOK, "export", "daehan").out, usualLink)

	drainOnce(t, o)
	deleteAndRestore(t, o, file)
}

func drainOnce(t *testing.T, o *tool) {
	o.must(program.ExitOK, "account", "drain", "daehan", "kr-busan-a", "--start", "+1h", "--end", "+10m", "--until", "+2h", "--name", "racks")
	wantText(t, o.must(program.ExitOK, "account", "drain", "daehan", "kr-busan-b", "--start", "+1h", "--end", "+10m", "--until", "+2h", "--dry-run").out, "drain kr-busan-b")
	var drains wire.DrainList
	o.read(&drains, "account", "drains", "daehan")
	if len(drains.Drains) != 1 || drains.Drains[0].Place != "kr-busan-a" || drains.Drains[0].Name != "racks" {
		t.Fatalf("drains: %+v", drains)
	}
	o.must(program.ExitOK, "account", "undrain", "daehan", "racks")
	var none wire.DrainList
	o.read(&none, "account", "drains", "daehan")
	if len(none.Drains) != 0 {
		t.Errorf("a cancelled drain is still planned: %+v", none)
	}
	o.must(program.ExitFailed, "account", "undrain", "daehan", "racks")
}

// deleteAndRestore makes a second account of a file, deletes it and brings it
// back.
func deleteAndRestore(t *testing.T, o *tool, exported string) {
	text, err := os.ReadFile(exported)
	if err != nil {
		t.Fatal(err)
	}
	_, document, _ := strings.Cut(string(text), "\n")
	file := writeFile(t, "pohang.ini", strings.ReplaceAll(document, "name = daehan", "name = pohang"))
	var created operator.Applied
	o.read(&created, "apply", "-f", file)
	if created.Sequence == 0 || created.Unchanged {
		t.Fatalf("created: %+v", created)
	}
	o.must(program.ExitUsage, "apply", "-f", writeFile(t, "edited.ini", strings.ReplaceAll(document, "name = daehan", "name = pohang")+"\n; edited\n"))
	o.must(program.ExitFailed, "account", "delete", "pohang", "--at", strconv.FormatUint(created.Sequence+1, 10))
	o.must(program.ExitOK, "account", "delete", "pohang", "--at", strconv.FormatUint(created.Sequence, 10))
	o.must(program.ExitFailed, "account", "get", "pohang")
	o.must(program.ExitOK, "account", "rollback", "pohang", "--to", strconv.FormatUint(created.Sequence, 10))
	wantText(t, o.must(program.ExitOK, "account", "list").out, "pohang")
}
