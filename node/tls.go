package node

import (
	"context"
	"net"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/yuccaroute/yuccaroute/admin/tlsfiles"
)

// openKeys reads the files of keys and certificates, if the settings name any.
func (n *Node) openKeys() error {
	t := n.options.Settings.TLS
	if !t.Enabled() {
		return nil
	}
	files := tlsfiles.Files{Certificate: t.CertificateFile, Key: t.KeyFile, Authority: t.AuthorityFile}
	keys, err := tlsfiles.New(files, 0, nil, n.log)
	if err != nil {
		return err
	}
	n.keys = keys
	return nil
}

// serverCredentials are those of the listener for peers.
func (n *Node) serverCredentials() credentials.TransportCredentials {
	if n.keys == nil {
		return insecure.NewCredentials()
	}
	return n.keys.Watched(credentials.NewTLS(n.keys.PeerServer()))
}

// clientCredentials are those of connections to peers.
func (n *Node) clientCredentials() credentials.TransportCredentials {
	if n.keys == nil {
		return insecure.NewCredentials()
	}
	return n.keys.Watched(peerCredentials{
		TransportCredentials: credentials.NewTLS(n.keys.PeerClient("")),
		keys:                 n.keys,
	})
}

// peerCredentials check that a peer's certificate names the IP address that was
// dialled. One pool of connections serves all peers, so the address is known
// only at the handshake.
type peerCredentials struct {
	credentials.TransportCredentials
	keys *tlsfiles.Keeper
}

// ClientHandshake implements credentials.TransportCredentials.
func (c peerCredentials) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	host, _, err := net.SplitHostPort(authority)
	if err != nil {
		return nil, nil, err
	}
	return credentials.NewTLS(c.keys.PeerClient(host)).ClientHandshake(ctx, authority, conn)
}

// Clone implements credentials.TransportCredentials.
func (c peerCredentials) Clone() credentials.TransportCredentials {
	return peerCredentials{TransportCredentials: c.TransportCredentials.Clone(), keys: c.keys}
}
