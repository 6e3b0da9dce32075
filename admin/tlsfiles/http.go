package tlsfiles

import llibtls "github.com/lesismal/llib/std/crypto/tls"

// HTTPServer returns the configuration of an nbhttp listener. It asks callers
// for no certificate.
func (k *Keeper) HTTPServer() *llibtls.Config {
	return &llibtls.Config{
		MinVersion: llibtls.VersionTLS12,
		GetCertificate: func(*llibtls.ClientHelloInfo) (*llibtls.Certificate, error) {
			return &k.keys().http, nil
		},
	}
}
