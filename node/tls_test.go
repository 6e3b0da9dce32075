package node_test

import (
	"context"
	"crypto/tls"
	"net/http"
	"path/filepath"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/yuccaroute/yuccaroute/admin/client"
	"github.com/yuccaroute/yuccaroute/admin/tlsfiles"
	"github.com/yuccaroute/yuccaroute/admin/tlsfiles/tlstest"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/config/changelog"
	"github.com/yuccaroute/yuccaroute/config/settings"
	"github.com/yuccaroute/yuccaroute/config/source"
	"github.com/yuccaroute/yuccaroute/node"
	"github.com/yuccaroute/yuccaroute/spread/transport"
)

// Nodes with certificates must refuse peers and operators without one, and changes must still reach
// all nodes when certificates are renewed and a node is replaced.
func TestKeysFromFiles(t *testing.T) {
	s := newSystem(t)
	signer := newAuthority(t)
	files := signer.files(t)
	signer.renew(files)
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

	renewed := signer.renew(files)
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

// authority signs the certificates of a test's nodes.
type authority struct{ *tlstest.Authority }

func newAuthority(t *testing.T) *authority { return &authority{tlstest.New(t, "127.0.0.1")} }

func (a *authority) files(t *testing.T) settings.TLS {
	dir := t.TempDir()
	files := settings.TLS{
		CertificateFile: filepath.Join(dir, "certificate.pem"),
		KeyFile:         filepath.Join(dir, "key.pem"),
		AuthorityFile:   filepath.Join(dir, "authority.pem"),
	}
	tlstest.Write(t, files.AuthorityFile, a.PEM())
	return files
}

// renew writes a new certificate into the files and returns its serial number.
func (a *authority) renew(files settings.TLS) int64 {
	return a.Renew(tlsfiles.Files{Certificate: files.CertificateFile, Key: files.KeyFile}, "test")
}

// config trusts the authority and shows a certificate of shown, nil for none.
func (a *authority) config(shown *authority) *tls.Config {
	if shown == nil {
		return &tls.Config{RootCAs: tlstest.Roots(a.Authority), ServerName: "127.0.0.1"}
	}
	return tlstest.Showing(tlstest.Roots(a.Authority), "127.0.0.1", shown.Pair())
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
