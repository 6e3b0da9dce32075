package node_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/yuccaroute/yuccaroute/admin/client"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/config/changelog"
	"github.com/yuccaroute/yuccaroute/config/settings"
	"github.com/yuccaroute/yuccaroute/config/source"
	"github.com/yuccaroute/yuccaroute/node"
	"github.com/yuccaroute/yuccaroute/spread/transport"
)

// A company runs its nodes with keys from files. A stranger in its network who
// has no certificate must not read or change what nodes tell each other, and
// operators must reach the API only over TLS. Then the certificates are
// renewed while the nodes run, and a node is replaced: it has only the new
// certificate, and changes must still reach all nodes.
func TestKeysFromFiles(t *testing.T) {
	s := newSystem(t)
	signer := newAuthority(t)
	files := signer.files(t)
	signer.renew(t, files)
	s.adjust = func(o *node.Options) { o.Settings.TLS = files }
	s.addThree()
	s.refusesStrangers(signer, s.nodes[0])

	api := client.New("https://"+s.nodes[0].AdminAddress(), "", signer.client())
	if _, err := api.LiveAccounts(s.ctx); err != nil {
		t.Error("the API over TLS: ", err)
	}
	plain := client.New("http://"+s.nodes[0].AdminAddress(), "", nil)
	if _, err := plain.LiveAccounts(s.ctx); err == nil {
		t.Error("the API answered in plain text")
	}

	renewed := signer.renew(t, files)
	s.until("the running node shows the new certificate", func() bool {
		return signer.serialOf(s.nodes[0].AdminAddress()) == renewed
	})
	s.nodes[2].Close()
	s.platform.RemoveVMs(s.nodes[2].VM().ID)
	s.nodes = s.nodes[:2]
	s.add("entry-renewed", places[2])
	wanted := s.apply(changelog.KindAccount, accountName, withCapacity(2900))
	s.until("a change is in force on old and new nodes", func() bool { return s.oldest() == wanted })
	s.refusesStrangers(signer, s.nodes[0])
}

// refusesStrangers asks a node's peer listener with a certificate and without.
func (s *system) refusesStrangers(signer *authority, n *node.Node) {
	s.t.Helper()
	if err := s.survey(n, signer.config(signer)); err != nil {
		s.t.Error("a peer with a certificate was refused: ", err)
	}
	if err := s.survey(n, signer.config(nil)); err == nil {
		s.t.Error("a stranger without a certificate was answered")
	}
	if err := s.survey(n, signer.config(newAuthority(s.t))); err == nil {
		s.t.Error("a stranger with a certificate of another signer was answered")
	}
}

func (s *system) survey(n *node.Node, keys *tls.Config) error {
	ctx, cancel := context.WithTimeout(s.ctx, patience/4)
	defer cancel()
	pool := transport.NewPool(grpc.WithTransportCredentials(credentials.NewTLS(keys)))
	defer pool.Close()
	conn, err := pool.Dial(n.VM().Peer.String())
	if err != nil {
		return err
	}
	_, err = peerpb.NewSpreadClient(conn).Survey(ctx, &peerpb.SurveyRequest{Key: source.Key(accountName)})
	return err
}

// authority signs certificates for tests.
type authority struct {
	t           *testing.T
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, key: newKey(t)}
	row := a.row()
	row.IsCA, row.BasicConstraintsValid, row.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, row, row, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	if a.certificate, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	return a
}

// row is a certificate before it is signed.
func (a *authority) row() *x509.Certificate {
	a.serial++
	return &x509.Certificate{
		SerialNumber: big.NewInt(a.serial),
		Subject:      pkix.Name{CommonName: "test"},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

// issue returns a new certificate and its key in PEM.
func (a *authority) issue() (certificate, key []byte) {
	private := newKey(a.t)
	der, err := x509.CreateCertificate(rand.Reader, a.row(), a.certificate, &private.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		a.t.Fatal(err)
	}
	return encodePEM("CERTIFICATE", der), encodePEM("PRIVATE KEY", keyDER)
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

func (a *authority) files(t *testing.T) settings.TLS {
	dir := t.TempDir()
	return settings.TLS{
		CertificateFile: filepath.Join(dir, "certificate.pem"),
		KeyFile:         filepath.Join(dir, "key.pem"),
		AuthorityFile:   filepath.Join(dir, "authority.pem"),
	}
}

// renew writes a new certificate into the files and returns its serial number.
func (a *authority) renew(t *testing.T, files settings.TLS) int64 {
	t.Helper()
	certificate, key := a.issue()
	for path, text := range map[string][]byte{
		files.CertificateFile: certificate,
		files.KeyFile:         key,
		files.AuthorityFile:   encodePEM("CERTIFICATE", a.certificate.Raw),
	} {
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return a.serial
}

// config trusts the authority and shows a certificate of shown, nil for none.
func (a *authority) config(shown *authority) *tls.Config {
	pool := x509.NewCertPool()
	pool.AddCert(a.certificate)
	config := &tls.Config{RootCAs: pool, ServerName: "127.0.0.1"}
	if shown == nil {
		return config
	}
	pair, err := tls.X509KeyPair(shown.issue())
	if err != nil {
		a.t.Fatal(err)
	}
	// The library shows a certificate only where the server asks for its
	// signer; GetClientCertificate shows it always.
	config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &pair, nil }
	return config
}

func (a *authority) client() *http.Client {
	return &http.Client{Transport: &http.Transport{TLSClientConfig: a.config(nil)}}
}

// serialOf returns the serial number of the certificate that an address shows.
func (a *authority) serialOf(address string) int64 {
	conn, err := tls.Dial("tcp", address, a.config(nil))
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}
