package tlsfiles

import (
	"context"
	"crypto/x509"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc/credentials"
)

// openPeers holds the connections to and from other nodes that are open, with
// the certificates that they showed.
//
// A certificate is checked when a connection is set up. Without this table a
// peer with a key of an authority that was taken away since, as its key was
// stolen, would be answered for as long as it keeps its connection open.
type openPeers struct {
	mu    sync.Mutex
	conns map[*peerConn]struct{}
}

// peerConn is a connection that leaves the table when it is closed.
type peerConn struct {
	net.Conn
	table *openPeers
	chain []*x509.Certificate
}

// Close implements net.Conn.
func (c *peerConn) Close() error {
	c.table.mu.Lock()
	delete(c.table.conns, c)
	c.table.mu.Unlock()
	return c.Conn.Close()
}

func (t *openPeers) add(conn net.Conn, chain []*x509.Certificate) net.Conn {
	c := &peerConn{Conn: conn, table: t, chain: chain}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns == nil {
		t.conns = map[*peerConn]struct{}{}
	}
	t.conns[c] = struct{}{}
	return c
}

func (t *openPeers) all() []*peerConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]*peerConn, 0, len(t.conns))
	for c := range t.conns {
		all = append(all, c)
	}
	return all
}

// closeStrangers closes the connections whose certificate the authorities in
// use did not sign. Their peers connect again, with the keys that they have now.
func (k *Keeper) closeStrangers() {
	for _, c := range k.open.all() {
		if err := k.verifyChain(c.chain, x509.VerifyOptions{KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}}); err != nil {
			k.logger.Infof("tls: closing the connection with %s: %v", c.RemoteAddr(), err)
			_ = c.Close()
		}
	}
}

// Watch looks at the files in each interval until the context ends, so that
// they count also while no connection is set up.
func (k *Keeper) Watch(ctx context.Context) {
	tick := time.NewTicker(k.interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			k.keys()
		}
	}
}

// Watched returns the credentials with each connection they set up closed once
// its certificate is no longer good.
func (k *Keeper) Watched(inner credentials.TransportCredentials) credentials.TransportCredentials {
	return watched{inner, k}
}

type watched struct {
	credentials.TransportCredentials
	keeper *Keeper
}

// ServerHandshake implements credentials.TransportCredentials.
func (w watched) ServerHandshake(raw net.Conn) (net.Conn, credentials.AuthInfo, error) {
	conn, info, err := w.TransportCredentials.ServerHandshake(raw)
	return w.kept(conn, info, err)
}

// ClientHandshake implements credentials.TransportCredentials.
func (w watched) ClientHandshake(ctx context.Context, authority string, raw net.Conn) (net.Conn, credentials.AuthInfo, error) {
	conn, info, err := w.TransportCredentials.ClientHandshake(ctx, authority, raw)
	return w.kept(conn, info, err)
}

func (w watched) kept(conn net.Conn, info credentials.AuthInfo, err error) (net.Conn, credentials.AuthInfo, error) {
	shown, ok := info.(credentials.TLSInfo)
	if err != nil || !ok {
		return conn, info, err
	}
	return w.keeper.open.add(conn, shown.State.PeerCertificates), info, nil
}

// Clone implements credentials.TransportCredentials.
func (w watched) Clone() credentials.TransportCredentials {
	return watched{w.TransportCredentials.Clone(), w.keeper}
}
