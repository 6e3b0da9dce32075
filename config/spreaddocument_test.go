package config_test

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/yuccaroute/yuccaroute/config"
	"github.com/yuccaroute/yuccaroute/config/examples"
)

// Story: a node merges an account from documents, and callers are served by other
// limits than those that were checked, as the parsed form dropped something.
func TestDocumentsMergeAsTexts(t *testing.T) {
	var many strings.Builder
	for i := range 200 {
		fmt.Fprintf(&many, ", 172.16.%d.0/24", i)
	}
	for _, pair := range examples.Pairs() {
		plain := string(examples.Text(pair.Account))
		begin, end, _ := strings.Cut(plain, "blocks = ")
		texts := map[string]string{
			"as it is":    plain,
			"many blocks": begin + "blocks = 172.17.0.0/24" + many.String() + ", " + end,
			"many blocks, one region off": begin + "blocks = 172.17.0.0/24" + many.String() + ", " + end +
				"\n[callers nowhere]\nenabled = no\nblocks = 172.18.0.0/16\n",
		}
		for what, text := range texts {
			t.Run(pair.Account+" "+what, func(t *testing.T) { mergesAsText(t, examples.Text(pair.Template), []byte(text)) })
		}
	}
}

func mergesAsText(t *testing.T, templateText, text []byte) {
	want, err := config.ResolveText("template", templateText, "account", text)
	if err != nil {
		t.Fatal(err)
	}
	_, wantSets, err := config.EncodeDivided(want.Account)
	if err != nil {
		t.Fatal(err)
	}
	template, err := config.DecodeTemplate("template", mustEncode(t, templateText, nil))
	if err != nil {
		t.Fatal(err)
	}
	document, err := config.DecodeAccountDocument("account", mustEncode(t, text, wantSets))
	if err != nil {
		t.Fatal(err)
	}
	got, err := config.Resolve(template, document)
	if err != nil {
		t.Fatal(err)
	}
	body, _, err := config.EncodeDivided(want.Account)
	if err != nil {
		t.Fatal(err)
	}
	spread, err := config.Decode(body)
	if err != nil {
		t.Fatal(err)
	}
	equal := []cmp.Option{cmpopts.EquateEmpty(), cmp.Comparer(func(a, b netip.Prefix) bool { return a == b })}
	if diff := cmp.Diff(spread, got.Account, equal...); diff != "" {
		t.Errorf("merged from documents:\n%s", diff)
	}
}

// mustEncode returns a document's body, which must name the sets.
func mustEncode(t *testing.T, text []byte, sets []config.Content) []byte {
	t.Helper()
	body, contents, err := config.EncodeDocument(text, 7)
	if err != nil {
		t.Fatal(err)
	}
	if hash, err := config.DocumentHash(body); hash != 7 || err != nil {
		t.Errorf("hash %d, %v", hash, err)
	}
	if diff := cmp.Diff(sets, contents, cmpopts.EquateEmpty()); diff != "" || len(config.CallerSets(body)) != len(sets) {
		t.Errorf("sets of blocks:\n%s", diff)
	}
	return body
}

// A body that was cut short, or that no release made, must be refused.
func TestDocumentsCutShort(t *testing.T) {
	body := mustEncode(t, examples.Text(examples.DaehanAccount), nil)
	for size := range len(body) {
		if _, err := config.DecodeAccountDocument("account", body[:size]); err == nil {
			t.Fatalf("accepted %d of %d bytes", size, len(body))
		}
	}
	text := mustEncode(t, []byte("[account\n"), nil)
	if _, err := config.DecodeAccountDocument("account", text); err == nil {
		t.Error("accepted a text that is not INI")
	}
}
