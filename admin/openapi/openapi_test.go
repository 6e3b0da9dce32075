package openapi_test

import (
	"flag"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/yuccaroute/yuccaroute/admin/openapi"
)

const file = "../../docs/openapi/admin-v1.json"

var update = flag.Bool("update", false, "write the committed file anew")

// TestCommittedFileIsTheAPI fails when a route or a message changed and the
// committed file was not written anew.
func TestCommittedFileIsTheAPI(t *testing.T) {
	made, err := openapi.Generate()
	if err != nil {
		t.Fatal(err)
	}
	if *update {
		if err := os.WriteFile(file, made, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	committed, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(committed), string(made)); diff != "" {
		t.Errorf("run go test ./admin/openapi -update:\n%s", diff)
	}
}
