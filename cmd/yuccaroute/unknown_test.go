package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/goccy/go-json"

	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/cmd/internal/program"
	"github.com/yuccaroute/yuccaroute/config/examples"
)

// losingNode answers reads but breaks the connection on each change, after it
// took the last one. late puts that change in force.
func losingNode(t *testing.T) (address string, late func()) {
	var id atomic.Value
	var inForce atomic.Bool
	mux := http.NewServeMux()
	mux.HandleFunc("GET /admin/v1/accounts/daehan", func(w http.ResponseWriter, _ *http.Request) {
		info := result.InfoOf(result.NotFound)
		w.WriteHeader(info.HTTP)
		_ = json.NewEncoder(w).Encode(&wire.Error{Code: info.Code, Name: info.Name, Outcome: info.Outcome.String()})
	})
	mux.HandleFunc("PUT /admin/v1/accounts/daehan", func(_ http.ResponseWriter, r *http.Request) {
		var change wire.ChangeRequest
		_ = json.NewDecoder(r.Body).Decode(&change)
		id.Store(change.ID)
		panic(http.ErrAbortHandler)
	})
	mux.HandleFunc("GET /admin/v1/accounts/daehan/changes/{id}", func(w http.ResponseWriter, r *http.Request) {
		answer := wire.Outcome{ID: r.PathValue("id"), State: wire.OutcomeNotSeen}
		if inForce.Load() && answer.ID == id.Load() {
			answer.State, answer.Change = wire.OutcomeInForce, &wire.Change{ID: answer.ID, Sequence: 3}
		}
		_ = json.NewEncoder(w).Encode(&answer)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.URL, func() { inForce.Store(true) }
}

// If all answers are lost, the tool must report the outcome as unknown and print a command that tells it
// later.
func TestUnknownOutcome(t *testing.T) {
	address, arrive := losingNode(t)
	o := toolFor(t, address)
	file := writeFile(t, "daehan.ini", string(examples.Text(examples.DaehanAccount)))
	lost := o.must(program.ExitUnknown, "apply", "-f", file)
	_, rest, found := strings.Cut(lost.notes, "ask by: yuccaroute ")
	if !found {
		t.Fatalf("no line to ask by in:\n%s", lost.notes)
	}
	line, _, _ := strings.Cut(rest, "\n")
	plain := &tool{t: t}
	plain.must(program.ExitUnknown, strings.Fields(line)...)
	arrive()
	wantText(t, plain.must(program.ExitOK, strings.Fields(line)...).out, "in-force at sequence 3")
}

// No node answers: nothing was done, and the exit code says so.
func TestNoNode(t *testing.T) {
	down := httptest.NewServer(nil)
	down.Close()
	o := toolFor(t, down.URL)
	file := writeFile(t, "daehan.ini", string(examples.Text(examples.DaehanAccount)))
	o.must(program.ExitUnavailable, "apply", "-f", file)
	if a := o.must(program.ExitUnavailable, "account", "list"); a.notes != "" {
		t.Errorf("besides the error that one node does not answer: %s", a.notes)
	}
	two := toolFor(t, down.URL, down.URL+"/").must(program.ExitUnavailable, "account", "list")
	wantText(t, two.notes, "node "+down.URL+" gave no result")
	t.Setenv(environmentNode, "")
	(&tool{t: t}).must(program.ExitUsage, "account", "list")
}
