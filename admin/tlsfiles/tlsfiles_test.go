package tlsfiles_test

import (
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/admin/tlsfiles"
	"github.com/yuccaroute/yuccaroute/admin/tlsfiles/tlstest"
	"github.com/yuccaroute/yuccaroute/httpserver"
)

func newAuthority(t *testing.T) *tlstest.Authority { return tlstest.New(t, "127.0.0.1") }

// write puts a new certificate of a name, and the authority, into the files.
func write(t *testing.T, a *tlstest.Authority, files tlsfiles.Files, name string) {
	t.Helper()
	a.Renew(files, name)
	tlstest.Write(t, files.Authority, a.PEM())
}

func filesIn(t *testing.T) tlsfiles.Files {
	dir := t.TempDir()
	return tlsfiles.Files{
		Certificate: filepath.Join(dir, "certificate.pem"),
		Key:         filepath.Join(dir, "key.pem"),
		Authority:   filepath.Join(dir, "authority.pem"),
	}
}

func quiet() logrus.FieldLogger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger
}

func keeper(t *testing.T, files tlsfiles.Files, now func() time.Time) *tlsfiles.Keeper {
	t.Helper()
	k, err := tlsfiles.New(files, time.Second, now, quiet())
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// handshake connects two configurations and returns the name that the client
// saw, and the error of either side.
func handshake(t *testing.T, server, client *tls.Config) (string, error) {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Write([]byte("x"))
		_ = conn.Close()
	}()
	conn, err := tls.Dial("tcp", listener.Addr().String(), client)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	// The client's handshake ends before the server has judged the client's
	// certificate; only a byte from the server tells that it was accepted.
	if _, err = io.ReadFull(conn, make([]byte, 1)); err != nil {
		return "", err
	}
	return conn.ConnectionState().PeerCertificates[0].Subject.CommonName, nil
}

// A certificate replaced while the node runs must be used by new connections, once it and its key
// belong together.
func TestRenewedWithoutRestart(t *testing.T) {
	now := time.Now()
	clock := func() time.Time { return now }
	ca, files := newAuthority(t), filesIn(t)
	write(t, ca, files, "first")
	k := keeper(t, files, clock)
	want := func(name string) {
		t.Helper()
		got, err := handshake(t, k.PeerServer(), k.PeerClient("127.0.0.1"))
		if err != nil || got != name {
			t.Errorf("got %q, %v, want %q", got, err, name)
		}
	}
	want("first")
	half := filesIn(t)
	write(t, ca, half, "second")
	certificate, _ := os.ReadFile(half.Certificate)
	_ = os.WriteFile(files.Certificate, certificate, 0o600)
	now = now.Add(2 * time.Second)
	want("first")
	key, _ := os.ReadFile(half.Key)
	_ = os.WriteFile(files.Key, key, 0o600)
	now = now.Add(2 * time.Second)
	want("second")
}

// TestStrangersAreRefused: a caller whose certificate another authority signed
// must not get through in either direction, nor one with another address.
func TestStrangersAreRefused(t *testing.T) {
	files, strangerFiles := filesIn(t), filesIn(t)
	write(t, newAuthority(t), files, "ours")
	write(t, newAuthority(t), strangerFiles, "stranger")
	ours, stranger := keeper(t, files, nil), keeper(t, strangerFiles, nil)
	for name, pair := range map[string][2]*tls.Config{
		"stranger as client":  {ours.PeerServer(), stranger.PeerClient("127.0.0.1")},
		"stranger as server":  {stranger.PeerServer(), ours.PeerClient("127.0.0.1")},
		"another address":     {ours.PeerServer(), ours.PeerClient("127.0.0.2")},
		"without certificate": {ours.PeerServer(), &tls.Config{InsecureSkipVerify: true}},
	} {
		if _, err := handshake(t, pair[0], pair[1]); err == nil {
			t.Errorf("%s: connected", name)
		}
	}
}

func TestHTTPServer(t *testing.T) {
	ca, files := newAuthority(t), filesIn(t)
	write(t, ca, files, "node")
	server, err := httpserver.Start(httpserver.Options{
		Address: "127.0.0.1:0", MaxBodyBytes: 1 << 16, TLS: keeper(t, files, nil).HTTPServer(),
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("hello")) }),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Stop(context.Background()) }()
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: tlstest.Roots(ca)}}
	defer transport.CloseIdleConnections()
	answer, err := (&http.Client{Transport: transport}).Get("https://" + server.Address() + "/")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	if body, _ := io.ReadAll(answer.Body); string(body) != "hello" {
		t.Errorf("got %q", body)
	}
}
