package operator

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/goccy/go-json"

	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/cmd/internal/program"
)

// Reading identities back settles a lost answer only if they are those that were sent.
func TestIdentitiesAnswerLost(t *testing.T) {
	for _, test := range []struct {
		name, inForce string
		exit          int
	}{
		{"ours are in force", "ours", program.ExitOK},
		{"others are in force", "others", program.ExitUnknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			mux := http.NewServeMux()
			mux.HandleFunc("PUT /admin/v1/identities", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
			mux.HandleFunc("GET /admin/v1/identities", func(w http.ResponseWriter, _ *http.Request) {
				_ = json.NewEncoder(w).Encode(&wire.IdentitiesDocument{Text: test.inForce, Revision: 9})
			})
			server := httptest.NewServer(mux)
			defer server.Close()
			_, err := nodesAt(server.URL).PutIdentities(context.Background(), &Identities{Text: "ours", Revision: 8})
			if code := ExitCode(err); code != test.exit {
				t.Errorf("exit code %d, want %d: %v", code, test.exit, err)
			}
		})
	}
}

// A new token is in its file only; what goes into the document is its hash.
func TestNewToken(t *testing.T) {
	file := t.TempDir() + "/anna.token"
	section, err := NewToken("anna", "operator", file)
	if err != nil {
		t.Fatal(err)
	}
	token, err := readFile(file, nil)
	if err != nil || len(token) == 0 || strings.Contains(section, strings.TrimSpace(string(token))) {
		t.Errorf("token %q, section %q, error %v", token, section, err)
	}
	if _, err := NewToken("anna", "operator", file); err == nil {
		t.Error("a token was overwritten")
	}
}
