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

// A page of a middle box comes with status 200 in place of the node's answer.
// The change reached the node or not; an operator who is told "not sent" makes
// it again under another identifier. A read stays a plain error.
func TestUnreadableSuccessIsUnknown(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("<html>welcome</html>"))
	}))
	t.Cleanup(server.Close)
	api := client.New(server.URL, "", nil)
	_, err := api.Put(t.Context(), client.Account("daehan"), client.At(2), wire.ChangeRequest{ID: "mine", Text: "x"})
	var unknown *wire.Error
	if !errors.As(err, &unknown) || unknown.Code != result.ChangeUnknown || unknown.ChangeID != "mine" {
		t.Errorf("an unreadable answer to a change reads as %v", err)
	}
	_, err = api.Get(t.Context(), client.Account("daehan"))
	if err == nil || errors.As(err, new(*wire.Error)) {
		t.Errorf("an unreadable answer to a read reads as %v", err)
	}
}
