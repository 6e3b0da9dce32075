package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	llibtls "github.com/lesismal/llib/std/crypto/tls"
	"github.com/pkg/errors"
)

// Files names the files, in PEM.
type Files struct {
	Certificate string
	Key         string
	// Authority holds the certificates that peers must be signed by.
	Authority string
}

// contents is the files' bytes at one reading.
type contents struct{ certificate, key, authority string }

func (f Files) read() (contents, error) {
	var c contents
	for _, part := range []struct {
		path string
		into *string
	}{{f.Certificate, &c.certificate}, {f.Key, &c.key}, {f.Authority, &c.authority}} {
		text, err := os.ReadFile(part.path)
		if err != nil {
			return c, errors.Wrap(err, "tls: read file")
		}
		*part.into = string(text)
	}
	return c, nil
}

// keys is what the contents mean. It is immutable.
type keys struct {
	certificate tls.Certificate
	// http is the same certificate in the type that nbhttp's TLS takes.
	http        llibtls.Certificate
	authorities *x509.CertPool
}

func (c contents) keys() (*keys, error) {
	k := &keys{authorities: x509.NewCertPool()}
	var err error
	k.certificate, err = tls.X509KeyPair([]byte(c.certificate), []byte(c.key))
	if err != nil {
		return nil, errors.Wrap(err, "tls: certificate and key")
	}
	k.http, err = llibtls.X509KeyPair([]byte(c.certificate), []byte(c.key))
	if err != nil {
		return nil, errors.Wrap(err, "tls: certificate and key")
	}
	if !k.authorities.AppendCertsFromPEM([]byte(c.authority)) {
		return nil, errors.New("tls: the authority file holds no certificate")
	}
	return k, nil
}
