package tlsfiles_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/admin/tlsfiles"
	"github.com/yuccaroute/yuccaroute/httpserver"
)

// authority signs certificates for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{key: newKey(t)}
	template := a.template("authority")
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	a.certificate, _ = x509.ParseCertificate(der)
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func (a *authority) template(name string) *x509.Certificate {
	a.serial++
	return &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.ParseIP("127.0.0.1")},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

// write puts a new certificate of a name into the files.
func (a *authority) write(t *testing.T, files tlsfiles.Files, name string) {
	t.Helper()
	key := newKey(t)
	der, err := x509.CreateCertificate(rand.Reader, a.template(name), a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	writePEM(t, files.Certificate, "CERTIFICATE", der)
	writePEM(t, files.Key, "PRIVATE KEY", keyDER)
	writePEM(t, files.Authority, "CERTIFICATE", a.certificate.Raw)
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
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

// TestRenewedWithoutRestart: the certificate is replaced while the node runs.
// New connections get the new one; while certificate and key do not belong
// together, the old ones stay in use.
func TestRenewedWithoutRestart(t *testing.T) {
	now := time.Now()
	clock := func() time.Time { return now }
	ca, files := newAuthority(t), filesIn(t)
	ca.write(t, files, "first")
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
	ca.write(t, half, "second")
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
	newAuthority(t).write(t, files, "ours")
	newAuthority(t).write(t, strangerFiles, "stranger")
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
	ca.write(t, files, "node")
	server, err := httpserver.Start(httpserver.Options{
		Address: "127.0.0.1:0", MaxBodyBytes: 1 << 16, TLS: keeper(t, files, nil).HTTPServer(),
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("hello")) }),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Stop(context.Background()) }()
	roots := x509.NewCertPool()
	roots.AddCert(ca.certificate)
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}}
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
