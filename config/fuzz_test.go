package config_test

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/config"
	"github.com/yuccaroute/yuccaroute/config/examples"
)

// FuzzResolve feeds account documents: nothing may panic, and what is accepted
// must mean the same after an export and after it was sent to another node.
func FuzzResolve(f *testing.F) {
	template, err := config.ParseTemplate("t", examples.Text("dealer"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(examples.Text("daehan"))
	f.Add(examples.Text("booking"))
	f.Add([]byte("[account]\nname = a\ntemplate = dealer\n[place x]\nenabled = no\n"))
	f.Add([]byte("[account]\nname=`a`\ntemplate=\"dealer\"\n[moves]\nmove_cap_percent=\"\"\"\n7\"\"\"\n"))
	f.Add([]byte("[account]\nname: a\n[DEFAULT]\nx=%(y)s\n[a.b]\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		account, err := config.ParseAccount("a", text)
		if err != nil {
			return
		}
		first, err := config.Resolve(template, account)
		if err != nil {
			return
		}
		again, err := config.ParseAccount("a", account.Export())
		if err != nil {
			t.Fatalf("export does not parse: %v\n%s", err, account.Export())
		}
		if !bytes.Equal(account.Export(), again.Export()) {
			t.Fatalf("export changes by an export:\n%s\n%s", account.Export(), again.Export())
		}
		second, err := config.Resolve(template, again)
		if err != nil {
			t.Fatalf("export does not resolve: %v", err)
		}
		same(t, first.Account, second.Account)
		merged, err := config.ResolveText("t", []byte("[template]\nname = dealer\n"), "a", first.ExportMerged())
		if err != nil {
			t.Fatalf("merged export does not resolve: %v\n%s", err, first.ExportMerged())
		}
		same(t, first.Account, merged.Account)
		body, err := config.Encode(first.Account)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := config.Decode(body)
		if err != nil {
			t.Fatal(err)
		}
		same(t, first.Account, decoded)
	})
}

func same(t *testing.T, a, b *model.Account) {
	t.Helper()
	compare := cmp.Comparer(func(x, y model.CallerBlock) bool { return x == y })
	if diff := cmp.Diff(a, b, compare); diff != "" {
		t.Fatal(diff)
	}
}
