package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/pkg/errors"
)

// PeerServer returns the configuration of a listener for other nodes. It
// requires a certificate of the caller.
func (k *Keeper) PeerServer() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			current := k.keys()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{current.certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    current.authorities,
				NextProtos:   []string{"h2"},
			}, nil
		},
		NextProtos: []string{"h2"},
	}
}

// PeerClient returns the configuration of connections to the node at host, an
// IP address that its certificate must name.
func (k *Keeper) PeerClient(host string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: host,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &k.keys().certificate, nil
		},
		// The library's own check has fixed authorities. It is replaced, not
		// left out: VerifyConnection makes the same check with the authorities
		// as last read, and its error ends the handshake.
		InsecureSkipVerify: true, //nolint:gosec
		VerifyConnection: func(state tls.ConnectionState) error {
			return k.verify(host, state.PeerCertificates)
		},
	}
}

func (k *Keeper) verify(host string, chain []*x509.Certificate) error {
	k.keys()
	err := k.verifyChain(chain, x509.VerifyOptions{DNSName: host})
	return errors.Wrap(err, "tls: certificate of "+host)
}

// verifyChain checks a peer's certificate against the authorities as last read.
func (k *Keeper) verifyChain(chain []*x509.Certificate, options x509.VerifyOptions) error {
	if len(chain) == 0 {
		return errors.New("tls: the peer has no certificate")
	}
	options.Intermediates = x509.NewCertPool()
	for _, certificate := range chain[1:] {
		options.Intermediates.AddCert(certificate)
	}
	options.Roots = k.current.Load().authorities
	options.CurrentTime = k.now()
	_, err := chain[0].Verify(options)
	return err
}
