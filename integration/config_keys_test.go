package integration

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/yuccaroute/yuccaroute/admin/client"
	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/spread/transport"
	"github.com/yuccaroute/yuccaroute/standin/caller"
)

const (
	keyNodes = 4
	// keyRequests and keyRate make the load outlast the replacement.
	keyRequests = 3000
	keyRate     = 60
	// keyDeadline is far above what a request takes on a busy machine, so that
	// each loss is due to the keys.
	keyDeadline = 20 * time.Second
)

// TestAuthorityReplaced: the authority's key is to be replaced while the nodes
// run. Old and new authority overlap in the files, then the nodes' certificates
// are renewed, certificate before key, then the old authority goes. No farmer
// and no operator loses a request, each change on the way is in force on all
// nodes, a node that restarts joins, and in the end a peer with a certificate of
// the old authority is refused by every node, also one that connected before and
// kept its connection: the key may be replaced because it was stolen.
func TestAuthorityReplaced(t *testing.T) {
	k := newKeyCluster(t)
	thieves := k.connections(k.old)
	o := k.f.run(load{seed: 11, requests: keyRequests, rate: caller.Steady(keyRate), deadline: keyDeadline},
		step{100, func(*farm) { k.change("with the old authority") }},
		step{200, func(*farm) { k.trustBoth() }},
		step{201, func(*farm) { k.renew() }},
		step{202, func(*farm) { k.trustNewOnly() }},
		step{203, func(*farm) { k.restartOne() }},
	)
	o.want(t, map[result.Outcome]int{result.Ran: keyRequests})
	for i, n := range k.nodes {
		if answered(thieves[i]) {
			t.Errorf("%s answers on a connection that a peer of the old authority kept", n.name)
		}
		if k.accepts(n, k.old) {
			t.Errorf("%s accepts a peer of the old authority", n.name)
		}
		if !k.accepts(n, k.fresh) {
			t.Errorf("%s refuses a peer of the new authority", n.name)
		}
	}
	k.change("with the new authority alone")
}

// keyCluster is nodes with keys from files, and targets.
type keyCluster struct {
	t          *testing.T
	f          *farm
	nodes      []*configNode
	files      []keyFiles
	old, fresh *authority
	made       int
}

type keyFiles struct{ certificate, key, authority string }

func newKeyCluster(t *testing.T) *keyCluster {
	t.Helper()
	k := &keyCluster{t: t, f: &farm{t: t}, old: newAuthority(t), fresh: newAuthority(t)}
	k.f.startPlatform()
	k.f.startTargets()
	k.nodes = k.f.startConfigNodes(keyNodes, func(i int) string {
		dir := t.TempDir()
		files := keyFiles{filepath.Join(dir, "certificate.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "authority.pem")}
		k.files = append(k.files, files)
		k.old.issueTo(files)
		writeKeyFile(t, files.authority, k.old.pem())
		return fmt.Sprintf("\n[tls]\ncertificate_file = %s\nkey_file = %s\nauthority_file = %s\n", files.certificate, files.key, files.authority)
	})
	k.f.listVMs(k.f.vms...)
	for _, n := range k.nodes {
		k.f.waitListening(n.admin)
	}
	template := strings.Replace(string(readFile(t, "testdata/template.ini")), "deadline_ms = 1500", "deadline_ms = 20000", 1)
	if _, err := k.api(k.nodes[0]).Put(t.Context(), client.Template("booking"), client.Created(), wire.ChangeRequest{Text: template}); err != nil {
		t.Fatal(err)
	}
	k.change("the account")
	k.f.waitServing()
	k.f.ledger = k.f.readJournals
	return k
}

// api is the administration API of a node, by a client that trusts both
// authorities.
func (k *keyCluster) api(n *configNode) *client.Client {
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: k.roots()}, DisableKeepAlives: true}
	return client.New("https://"+n.admin, "", &http.Client{Transport: transport, Timeout: exitPatience})
}

func (k *keyCluster) roots() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(k.old.certificate)
	pool.AddCert(k.fresh.certificate)
	return pool
}

// change makes a change through each node and waits until the last is in force
// on all.
func (k *keyCluster) change(when string) {
	for _, n := range k.nodes {
		k.made++
		text := strings.Replace(string(readFile(k.t, "testdata/account.ini")), "link_in_rps = 1200", fmt.Sprintf("link_in_rps = %d", 1200+k.made), 1)
		answer, err := k.api(n).Put(k.t.Context(), client.Account(string(account)), client.Overwrite(), wire.ChangeRequest{Text: text})
		if err != nil {
			k.t.Errorf("%s: a change through %s: %v", when, n.name, err)
			continue
		}
		for _, other := range k.nodes {
			k.f.waitUntil(other.name+" to have a change, "+when, func() bool {
				live, err := k.api(other).LiveAccount(context.Background(), string(account))
				return err == nil && live.Sequence >= answer.Change.Sequence
			})
		}
	}
	k.t.Logf("%s: changes in force after %d requests", when, k.f.soFar[result.Ran].Load())
}

func (k *keyCluster) trustBoth() {
	for i := range k.files {
		writeKeyFile(k.t, k.files[i].authority, append(k.old.pem(), k.fresh.pem()...))
	}
	for _, n := range k.nodes {
		k.f.waitUntil(n.name+" to accept the new authority", func() bool { return k.accepts(n, k.fresh) })
	}
	k.change("with both authorities")
}

func (k *keyCluster) renew() {
	for i := range k.files {
		k.fresh.issueTo(k.files[i])
	}
	for _, n := range k.nodes {
		k.f.waitUntil(n.name+" to show its new certificate", func() bool { return k.shows(n, k.fresh) })
		k.change(n.name + " renewed")
	}
}

func (k *keyCluster) trustNewOnly() {
	for i := range k.files {
		writeKeyFile(k.t, k.files[i].authority, k.fresh.pem())
	}
	for _, n := range k.nodes {
		k.f.waitUntil(n.name+" to refuse the old authority", func() bool { return !k.accepts(n, k.old) })
	}
	k.change("without the old authority")
}

// restartOne stops a node as planned and starts it again with the files as they
// are now.
func (k *keyCluster) restartOne() {
	last := len(k.nodes) - 1
	stopEntry(last)(k.f)
	k.nodes[last].p.start()
	k.f.listVMs(k.f.vms...)
	k.f.waitListening(k.nodes[last].admin)
	k.change("after a restart")
}

// connect returns a connection to a node that shows a certificate of the
// authority.
func (k *keyCluster) connect(n *configNode, shown *authority) (conn grpc.ClientConnInterface, done func()) {
	pair := shown.pair()
	keys := &tls.Config{
		RootCAs: k.roots(), ServerName: configIP(),
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &pair, nil },
	}
	pool := transport.NewPool(grpc.WithTransportCredentials(credentials.NewTLS(keys)))
	conn, err := pool.Dial(n.peers)
	if err != nil {
		k.t.Fatal(err)
	}
	return conn, pool.Close
}

func answered(conn grpc.ClientConnInterface) bool {
	ctx, cancel := context.WithTimeout(context.Background(), exitPatience)
	defer cancel()
	_, err := peerpb.NewSpreadClient(conn).Survey(ctx, &peerpb.SurveyRequest{Key: "account/" + string(account)})
	return err == nil
}

// connections sets up a connection to each node and keeps it.
func (k *keyCluster) connections(shown *authority) []grpc.ClientConnInterface {
	var conns []grpc.ClientConnInterface
	for _, n := range k.nodes {
		conn, done := k.connect(n, shown)
		k.t.Cleanup(done)
		if !answered(conn) {
			k.t.Fatalf("%s does not answer a peer", n.name)
		}
		conns = append(conns, conn)
	}
	return conns
}

// accepts reports whether a node answers a peer that connects with a certificate
// of the authority.
func (k *keyCluster) accepts(n *configNode, shown *authority) bool {
	conn, done := k.connect(n, shown)
	defer done()
	return answered(conn)
}

// shows reports whether a node's listener for operators shows a certificate of
// the authority.
func (k *keyCluster) shows(n *configNode, signer *authority) bool {
	conn, err := tls.Dial("tcp", n.admin, &tls.Config{RootCAs: k.roots(), ServerName: configIP()})
	if err != nil {
		return false
	}
	defer conn.Close()
	return conn.ConnectionState().PeerCertificates[0].CheckSignatureFrom(signer.certificate) == nil
}

// authority signs certificates for the nodes of this test process.
type authority struct {
	t           *testing.T
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t}
	row := a.row()
	row.IsCA, row.BasicConstraintsValid, row.KeyUsage = true, true, x509.KeyUsageCertSign
	row.Subject = pkix.Name{CommonName: "authority"}
	var der []byte
	a.key, der = a.sign(row, nil)
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	a.certificate = certificate
	return a
}

func (a *authority) row() *x509.Certificate {
	a.serial++
	return &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: "node"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.ParseIP(configIP())},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

// sign makes a key and its certificate; parent nil is for the authority itself.
func (a *authority) sign(row, parent *x509.Certificate) (*ecdsa.PrivateKey, []byte) {
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

// issue returns a new certificate and its key in PEM.
func (a *authority) issue() (certificate, key []byte) {
	private, der := a.sign(a.row(), a.certificate)
	keyDER, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		a.t.Fatal(err)
	}
	return encodePEM("CERTIFICATE", der), encodePEM("PRIVATE KEY", keyDER)
}

// issueTo replaces certificate and key, one file after the other.
func (a *authority) issueTo(files keyFiles) {
	certificate, key := a.issue()
	writeKeyFile(a.t, files.certificate, certificate)
	writeKeyFile(a.t, files.key, key)
}

func (a *authority) pair() tls.Certificate {
	pair, err := tls.X509KeyPair(a.issue())
	if err != nil {
		a.t.Fatal(err)
	}
	return pair
}

func (a *authority) pem() []byte { return encodePEM("CERTIFICATE", a.certificate.Raw) }

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

func writeKeyFile(t *testing.T, path string, text []byte) {
	t.Helper()
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
}
