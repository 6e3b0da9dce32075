package main

import (
	"io"
	"net/netip"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/cmd/internal/program"
	"github.com/yuccaroute/yuccaroute/config/examples"
	"github.com/yuccaroute/yuccaroute/config/settings"
	"github.com/yuccaroute/yuccaroute/httpserver"
	"github.com/yuccaroute/yuccaroute/node"
	"github.com/yuccaroute/yuccaroute/standin/platform"
)

// startProtected starts one node that knows its operators from a file.
func startProtected(t *testing.T, identities string) string {
	t.Helper()
	httpserver.QuietLibraryLogs()
	server := platform.New(platform.Options{Address: "127.0.0.1:0"})
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Stop() })
	anyPort, services := netip.MustParseAddrPort("127.0.0.1:0"), netip.MustParseAddrPort(server.Addr())
	s := settings.Defaults(
		settings.Node{VM: "entry-1", Region: "kr-seoul", FailureDomain: "kr-seoul-a"},
		settings.Listen{Callers: anyPort, Admin: anyPort, Peers: anyPort}, services, services)
	s.Admin.IdentitiesFile = identities
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	n, err := node.New(node.Options{Settings: s, Logger: logger})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	server.SetVMs(n.VM())
	n.Start()
	return n.AdminAddress()
}

// newIdentityFor makes a token with the tool and returns its file and section.
func newIdentityFor(t *testing.T, name, role, accounts, templates string) (file, section string) {
	t.Helper()
	file = filepath.Join(t.TempDir(), name+".token")
	made := (&tool{t: t}).must(program.ExitOK, "identity", "new-token", name, "--role", role, "--out", file).out
	return file, scoped(made, accounts, templates)
}

// scoped fills in the lines that new-token leaves to the operator.
func scoped(section, accounts, templates string) string {
	var lines []string
	for line := range strings.Lines(section) {
		if !strings.HasPrefix(line, "accounts") && !strings.HasPrefix(line, "templates") {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "") + "accounts = " + accounts + "\ntemplates = " + templates + "\n\n"
}

// An operator of another account, a reader, and callers without a valid token must each be refused with
// the right result code, and nothing may change.
func TestIdentitiesOfARealNode(t *testing.T) {
	ownerToken, owner := newIdentityFor(t, "olga", "owner", "*", "*")
	benToken, ben := newIdentityFor(t, "ben", "operator", "daehan", "")
	ritaToken, rita := newIdentityFor(t, "rita", "reader", "*", "*")
	strangerToken, _ := newIdentityFor(t, "stranger", "owner", "*", "*")
	address := startProtected(t, writeFile(t, "identities.ini", owner+ben+rita))
	as := func(token string) *tool {
		return &tool{t: t, flags: []string{"--node", address, "--token-file", token}}
	}
	for _, pair := range examples.Pairs() {
		as(ownerToken).must(program.ExitOK, "apply",
			"-f", writeFile(t, pair.Template+".ini", string(examples.Text(pair.Template))),
			"-f", writeFile(t, pair.Account+".ini", string(examples.Text(pair.Account))))
	}

	exported := as(benToken).must(program.ExitOK, "export", "daehan").out
	mine := writeFile(t, "daehan.ini", strings.ReplaceAll(exported, usualLink, fewerLink))
	theirs := writeFile(t, "alpenvlies.ini", string(examples.Text(examples.AlpenvliesAccount))+"\n; changed\n")
	before := as(ownerToken).must(program.ExitOK, "export", "alpenvlies").out
	wantRefused(t, as(benToken), "305", "export", "alpenvlies")
	wantRefused(t, as(benToken), "305", "apply", "-f", theirs, "--overwrite")
	wantRefused(t, as(benToken), "305", "account", "delete", "alpenvlies", "--at", "2")
	wantRefused(t, as(benToken), "305", "template", "get", "dealer")
	wantRefused(t, as(benToken), "305", "template", "adopt-store", "dealer")
	wantRefused(t, as(benToken), "305", "identity", "list")
	wantRefused(t, as(ritaToken), "305", "apply", "-f", mine)
	wantRefused(t, as(strangerToken), "304", "export", "daehan")
	wantRefused(t, toolFor(t, address), "304", "export", "daehan")
	wantRefused(t, toolFor(t, address), "304", "apply", "-f", mine)
	if after := as(ritaToken).must(program.ExitOK, "export", "alpenvlies").out; after != before {
		t.Errorf("a refused change took effect:\n%s", after)
	}
	as(benToken).must(program.ExitOK, "apply", "-f", mine)
	wantText(t, as(ritaToken).must(program.ExitOK, "account", "history", "daehan").out, "ben", "olga")
	as(ownerToken).must(program.ExitOK, "template", "adopt-store", "dealer", "--note", "as it is")
	wantText(t, as(ritaToken).must(program.ExitOK, "template", "history", "dealer").out, "as it is")
}

func wantRefused(t *testing.T, o *tool, code string, args ...string) {
	t.Helper()
	a := o.must(program.ExitFailed, args...)
	if !strings.Contains(a.err.Error(), code) {
		t.Errorf("%v is refused without %s: %v", args, code, a.err)
	}
}
