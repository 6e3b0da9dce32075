package identity_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/admin/identity"
)

func section(name, hash, role string) string {
	return "[identity " + name + "]\ntoken_sha256 = " + hash + "\nrole = " + role + "\naccounts = daehan\n"
}

func TestMatch(t *testing.T) {
	token, hash := identity.NewToken()
	other, otherHash := identity.NewToken()
	set, err := identity.Parse("f", []byte(section("ana", hash, "operator")+section("ben", otherHash, "reader")))
	if err != nil {
		t.Fatal(err)
	}
	ana, ben := set.Match(token), set.Match(other)
	if ana == nil || ana.Name != "ana" || !ana.MayChange() || !ana.MayTouchAccount("daehan") || ana.MayTouchAccount("x") || ana.MayTouchTemplate("dealer") {
		t.Errorf("got %+v", ana)
	}
	if ben == nil || ben.Name != "ben" || ben.MayChange() {
		t.Errorf("got %+v", ben)
	}
	if set.Match("") != nil || set.Match(token[1:]) != nil || set.Match(hash) != nil {
		t.Error("a wrong token matched")
	}
}

func TestParseReportsAllProblems(t *testing.T) {
	_, hash := identity.NewToken()
	_, err := identity.Parse("f", []byte(section("ana", hash, "boss")+section("ben", hash, "reader")+"[identity eve]\ntoken = secret\n"))
	for _, want := range []string{"role: wrong value", "identity ana has the same token", "token: unknown key", "[identity eve] token_sha256: the key is missing"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("missing %q in %v", want, err)
		}
	}
}

// Identities must stay usable while they cannot be read, and a token revoked meanwhile must lose its
// rights within the maximum age afterwards.
func TestKeeperOutlastsAnOutage(t *testing.T) {
	token, hash := identity.NewToken()
	text, out := []byte(section("ana", hash, "operator")), false
	now := time.Unix(0, 0)
	keeper := identity.NewKeeper(func(context.Context) ([]byte, error) {
		if out {
			return nil, errors.New("out")
		}
		return text, nil
	}, time.Minute, func() time.Time { return now })
	want := func(name string) {
		t.Helper()
		got, err := keeper.Match(t.Context(), token)
		if err != nil || (got == nil) != (name == "") {
			t.Errorf("got %+v, %v", got, err)
		}
	}
	want("ana")
	out = true
	now = now.Add(time.Hour)
	want("ana")
	out, text = false, nil
	now = now.Add(time.Second)
	want("ana")
	now = now.Add(time.Minute)
	want("")
}

func TestKeeperWithoutASet(t *testing.T) {
	keeper := identity.NewKeeper(func(context.Context) ([]byte, error) { return nil, errors.New("out") }, 0, nil)
	if _, err := keeper.Match(t.Context(), "x"); err == nil {
		t.Error("a token was judged without any identities")
	}
}
