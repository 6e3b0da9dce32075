package admin_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/admin"
	"github.com/yuccaroute/yuccaroute/admin/client"
	"github.com/yuccaroute/yuccaroute/admin/identity"
	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/config/changelog"
	"github.com/yuccaroute/yuccaroute/config/examples"
	"github.com/yuccaroute/yuccaroute/httpserver"
	"github.com/yuccaroute/yuccaroute/store/faultkv"
	"github.com/yuccaroute/yuccaroute/store/memkv"
)

// fixture is an API on a real server over a store that can fail.
type fixture struct {
	kv      *faultkv.Store
	options admin.Options
	url     string
	tokens  map[string]string
}

// newFixture starts the API with the owner "olga", the operator "ben" of
// account daehan, and the reader "rita" of everything.
func newFixture(t *testing.T, change func(*admin.Options)) *fixture {
	t.Helper()
	f := &fixture{kv: faultkv.New(memkv.New(memkv.Options{}), nil), tokens: map[string]string{}}
	var text strings.Builder
	add := func(name, role, accounts, templates string) {
		token, hash := identity.NewToken()
		f.tokens[name] = token
		text.WriteString("[identity " + name + "]\ntoken_sha256 = " + hash + "\nrole = " + role + "\naccounts = " + accounts + "\ntemplates = " + templates + "\n\n")
	}
	add("olga", "owner", "*", "*")
	add("ben", "operator", "daehan", "")
	add("rita", "reader", "*", "*")
	document := []byte(text.String())
	logger := logrus.New()
	logger.SetLevel(logrus.PanicLevel)
	f.options = admin.Options{
		Log: changelog.New(f.kv, changelog.Options{}),
		KV:  f.kv,
		Identities: identity.NewKeeper(func(context.Context) ([]byte, error) {
			return document, nil
		}, 0, nil),
		Logger: logger,
	}
	if change != nil {
		change(&f.options)
	}
	server, err := httpserver.Start(httpserver.Options{Address: "127.0.0.1:0", Handler: admin.New(f.options), MaxBodyBytes: 2 << 20})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Stop(context.Background()) })
	f.url = "http://" + server.Address()
	return f
}

func (f *fixture) as(t *testing.T, name string) *client.Client {
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return client.New(f.url, f.tokens[name], &http.Client{Transport: transport})
}

// seed puts the example template and account in force.
func (f *fixture) seed(t *testing.T) {
	t.Helper()
	olga := f.as(t, "olga")
	for _, object := range []struct {
		object client.Object
		text   []byte
	}{
		{client.Template("dealer"), examples.Text("dealer")},
		{client.Account("daehan"), examples.Text("daehan")},
	} {
		if _, err := olga.Put(t.Context(), object.object, client.Created(), wire.ChangeRequest{Text: string(object.text)}); err != nil {
			t.Fatal(err)
		}
	}
}

// wantCode checks that an error is the API's with a result code.
func wantCode(t *testing.T, err error, code result.Code) *wire.Error {
	t.Helper()
	var answer *wire.Error
	if !errors.As(err, &answer) || answer.Code != code {
		t.Fatalf("got %v, want %s", err, code)
	}
	return answer
}

func reweighted(latency, headroom string) string {
	text := strings.Replace(string(examples.Text("daehan")), "latency_weight = 0.8", "latency_weight = "+latency, 1)
	return strings.Replace(text, "headroom_weight = 0.2", "headroom_weight = "+headroom, 1)
}
