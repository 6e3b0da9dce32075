package client_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/yuccaroute/yuccaroute/admin/client"
	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/api/result"
)

// answering returns a client of a server that gives everybody one answer.
func answering(t *testing.T, status int, body string) *client.Client {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(server.Close)
	return client.New(server.URL, "", nil)
}

// An answer that is not the node's says nothing of a change: its outcome must be reported as unknown.
func TestForeignAnswerToChangeIsUnknown(t *testing.T) {
	cases := []struct {
		name   string
		status int
		body   string
	}{
		{"a page", http.StatusOK, "<html>welcome</html>"},
		{"an empty object", http.StatusOK, "{}"},
		{"null", http.StatusOK, "null"},
		{"another change", http.StatusOK, `{"change":{"id":"other","sequence":3}}`},
		{"no sequence", http.StatusOK, `{"change":{"id":"mine"},"id":"mine"}`},
		{"a document", http.StatusOK, `{"kind":"account","name":"daehan","sequence":3}`},
		{"an error of a middle box", http.StatusForbidden, `{"name":"blocked","message":"by policy"}`},
		{"an error about another change", http.StatusPreconditionFailed, `{"code":301,"name":"revision-conflict","outcome":"not-run","change_id":"other"}`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			api := answering(t, c.status, c.body)
			check := func(what, id string, err error) {
				var unknown *wire.Error
				if !errors.As(err, &unknown) || unknown.Code != result.ChangeUnknown || unknown.ChangeID != id {
					t.Errorf("%s: the answer to the change reads as %v", what, err)
				}
			}
			account, ctx := client.Account("daehan"), t.Context()
			_, err := api.Put(ctx, account, client.At(2), wire.ChangeRequest{ID: "mine", Text: "x"})
			check("put", "mine", err)
			_, err = api.Delete(ctx, account, client.At(2), "mine", "")
			check("delete", "mine", err)
			_, err = api.RollBack(ctx, account, client.At(2), wire.RollBackRequest{ID: "mine", ToSequence: 1})
			check("roll back", "mine", err)
			_, err = api.AdoptStore(ctx, "dealer", wire.AdoptRequest{ID: "mine"})
			check("adopt", "mine", err)
			_, err = api.PutIdentities(ctx, client.At(2), "x")
			check("identities", "identities", err)
		})
	}
}

// The node's own success and refusal stay what they are.
func TestOwnAnswerToChange(t *testing.T) {
	made := answering(t, http.StatusOK, `{"change":{"id":"mine","sequence":3}}`)
	change := wire.ChangeRequest{ID: "mine", Text: "x"}
	if answer, err := made.Put(t.Context(), client.Account("daehan"), client.At(2), change); err != nil || answer.Change.Sequence != 3 {
		t.Errorf("a success reads as %v, %v", answer, err)
	}
	refused := answering(t, http.StatusPreconditionFailed, `{"code":301,"name":"revision-conflict","outcome":"not-run","change_id":"mine"}`)
	var conflict *wire.Error
	if _, err := refused.Put(t.Context(), client.Account("daehan"), client.At(2), change); !errors.As(err, &conflict) || conflict.Code != result.RevisionConflict {
		t.Errorf("a refusal reads as %v", err)
	}
}

// A read that cannot be decoded stays a plain error: nothing was to be changed.
func TestUnreadableAnswerToRead(t *testing.T) {
	_, err := answering(t, http.StatusOK, "<html>welcome</html>").Get(t.Context(), client.Account("daehan"))
	if err == nil || errors.As(err, new(*wire.Error)) {
		t.Errorf("an unreadable answer to a read reads as %v", err)
	}
}
