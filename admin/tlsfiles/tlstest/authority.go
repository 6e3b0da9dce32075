// Package tlstest signs certificates for tests of nodes with keys from files.
package tlstest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/admin/tlsfiles"
)

// Authority signs certificates that name one IP address and are valid for an
// hour. Its methods fail the test on errors.
type Authority struct {
	t  testing.TB
	ip net.IP
	// Certificate is the authority's own.
	Certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

// New makes an authority for nodes at ip.
func New(t testing.TB, ip string) *Authority {
	t.Helper()
	a := &Authority{t: t, ip: net.ParseIP(ip)}
	row := a.row("authority")
	row.IsCA, row.BasicConstraintsValid, row.KeyUsage = true, true, x509.KeyUsageCertSign
	var der []byte
	a.key, der = a.sign(row, nil)
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	a.Certificate = certificate
	return a
}

// row is a certificate before it is signed.
func (a *Authority) row(name string) *x509.Certificate {
	a.serial++
	return &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{a.ip},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

// sign makes a key and its certificate; parent nil is for the authority itself.
func (a *Authority) sign(row, parent *x509.Certificate) (*ecdsa.PrivateKey, []byte) {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	signer := a.key
	if parent == nil {
		parent, signer = row, key
	}
	der, err := x509.CreateCertificate(rand.Reader, row, parent, &key.PublicKey, signer)
	if err != nil {
		a.t.Fatal(err)
	}
	return key, der
}

// Issue returns a new certificate of a name and its key, in PEM.
func (a *Authority) Issue(name string) (certificate, key []byte) {
	a.t.Helper()
	private, der := a.sign(a.row(name), a.Certificate)
	keyDER, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		a.t.Fatal(err)
	}
	return encode("CERTIFICATE", der), encode("PRIVATE KEY", keyDER)
}

// Renew replaces certificate and key in the files, one file after the other, and
// returns the certificate's serial number.
func (a *Authority) Renew(files tlsfiles.Files, name string) int64 {
	a.t.Helper()
	certificate, key := a.Issue(name)
	Write(a.t, files.Certificate, certificate)
	Write(a.t, files.Key, key)
	return a.serial
}

// Pair returns a new certificate with its key.
func (a *Authority) Pair() tls.Certificate {
	a.t.Helper()
	pair, err := tls.X509KeyPair(a.Issue("node"))
	if err != nil {
		a.t.Fatal(err)
	}
	return pair
}

// PEM returns the authority's certificate in PEM.
func (a *Authority) PEM() []byte { return encode("CERTIFICATE", a.Certificate.Raw) }

func encode(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

// Roots returns a pool of the authorities.
func Roots(all ...*Authority) *x509.CertPool {
	pool := x509.NewCertPool()
	for _, a := range all {
		pool.AddCert(a.Certificate)
	}
	return pool
}

// Showing returns the configuration of a client that trusts roots and shows the
// certificate whatever the server asks for. The library alone shows one only
// where the server names its signer.
func Showing(roots *x509.CertPool, ip string, pair tls.Certificate) *tls.Config {
	return &tls.Config{
		RootCAs: roots, ServerName: ip,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &pair, nil },
	}
}

// Write replaces a file.
func Write(t testing.TB, path string, text []byte) {
	t.Helper()
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
}
