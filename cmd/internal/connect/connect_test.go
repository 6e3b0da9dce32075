package connect

import (
	"context"
	"encoding/pem"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/admin/client"
	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/cmd/internal/operator"
)

// The token goes to a node whose certificate the given ones sign, and to no
// other.
func TestTokenOverTLS(t *testing.T) {
	received := ""
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received = r.Header.Get("Authorization")
		_, _ = w.Write([]byte(`{"identity":"anna"}`))
	}))
	defer server.Close()
	directory := t.TempDir()
	write := func(name string, text []byte) string {
		path := filepath.Join(directory, name)
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	options := Options{
		Nodes:     []string{strings.TrimPrefix(server.URL, "https://")},
		TokenFile: write("token", []byte("secret\n")),
		CAFile:    write("ca.pem", pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw})),
		Timeout:   time.Minute,
	}
	whoami := func(options Options) (*wire.Whoami, error) {
		nodes, err := Open(options)
		if err != nil {
			t.Fatal(err)
		}
		return operator.Read(context.Background(), nodes, func(ctx context.Context, api *client.Client) (*wire.Whoami, error) {
			return api.Whoami(ctx)
		})
	}
	who, err := whoami(options)
	if err != nil || who.Identity != "anna" || received != "Bearer secret" {
		t.Errorf("%v, %v, header %q", who, err, received)
	}
	received = ""
	options.Nodes, options.CAFile = []string{server.URL}, ""
	if _, err := whoami(options); err == nil || received != "" {
		t.Errorf("a node with an unknown certificate got %q", received)
	}
}

// The line that operators copy is read by a shell as it was meant.
func TestCommandLine(t *testing.T) {
	options := Options{Nodes: []string{"10.0.0.1:7001", "10.0.0.2:7001"}, TokenFile: "my token's file"}
	want := `yuccaroute --node 10.0.0.1:7001 --node 10.0.0.2:7001 --token-file 'my token'\''s file'`
	if got := options.CommandLine(); got != want {
		t.Errorf("%s\nwant\n%s", got, want)
	}
}
