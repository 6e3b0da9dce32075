package integration

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/yuccaroute/yuccaroute/admin/client"
	"github.com/yuccaroute/yuccaroute/admin/tlsfiles"
	"github.com/yuccaroute/yuccaroute/admin/tlsfiles/tlstest"
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

// A certificate authority must be replaceable while nodes run without a lost request or change, and no
// peer with a certificate of the old one may stay connected.
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
	files      []tlsfiles.Files
	old, fresh *tlstest.Authority
	made       int
}

func newKeyCluster(t *testing.T) *keyCluster {
	t.Helper()
	k := &keyCluster{t: t, f: newFarm(t)}
	k.f.startPlatform()
	k.old, k.fresh = tlstest.New(t, k.f.host.IP()), tlstest.New(t, k.f.host.IP())
	k.f.startTargets()
	k.nodes = k.f.startConfigNodes(keyNodes, func(i int) string {
		dir := t.TempDir()
		files := tlsfiles.Files{
			Certificate: filepath.Join(dir, "certificate.pem"), Key: filepath.Join(dir, "key.pem"), Authority: filepath.Join(dir, "authority.pem"),
		}
		k.files = append(k.files, files)
		k.old.Renew(files, "node")
		tlstest.Write(t, files.Authority, k.old.PEM())
		return fmt.Sprintf("\n[tls]\ncertificate_file = %s\nkey_file = %s\nauthority_file = %s\n", files.Certificate, files.Key, files.Authority)
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

func (k *keyCluster) roots() *x509.CertPool { return tlstest.Roots(k.old, k.fresh) }

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
		tlstest.Write(k.t, k.files[i].Authority, append(k.old.PEM(), k.fresh.PEM()...))
	}
	for _, n := range k.nodes {
		k.f.waitUntil(n.name+" to accept the new authority", func() bool { return k.accepts(n, k.fresh) })
	}
	k.change("with both authorities")
}

func (k *keyCluster) renew() {
	for i := range k.files {
		k.fresh.Renew(k.files[i], "node")
	}
	for _, n := range k.nodes {
		k.f.waitUntil(n.name+" to show its new certificate", func() bool { return k.shows(n, k.fresh) })
		k.change(n.name + " renewed")
	}
}

func (k *keyCluster) trustNewOnly() {
	for i := range k.files {
		tlstest.Write(k.t, k.files[i].Authority, k.fresh.PEM())
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
func (k *keyCluster) connect(n *configNode, shown *tlstest.Authority) (conn grpc.ClientConnInterface, done func()) {
	keys := tlstest.Showing(k.roots(), k.f.host.IP(), shown.Pair())
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
func (k *keyCluster) connections(shown *tlstest.Authority) []grpc.ClientConnInterface {
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
func (k *keyCluster) accepts(n *configNode, shown *tlstest.Authority) bool {
	conn, done := k.connect(n, shown)
	defer done()
	return answered(conn)
}

// shows reports whether a node's listener for operators shows a certificate of
// the authority.
func (k *keyCluster) shows(n *configNode, signer *tlstest.Authority) bool {
	conn, err := tls.Dial("tcp", n.admin, &tls.Config{RootCAs: k.roots(), ServerName: k.f.host.IP()})
	if err != nil {
		return false
	}
	defer conn.Close()
	return conn.ConnectionState().PeerCertificates[0].CheckSignatureFrom(signer.Certificate) == nil
}
