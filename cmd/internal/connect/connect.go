// Package connect makes clients of the nodes' administration API from what an
// operator gives on the command line.
package connect

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/admin/client"
	"github.com/yuccaroute/yuccaroute/cmd/internal/operator"
)

// Options tell how to reach nodes.
type Options struct {
	// Nodes are addresses ip:port, or URLs.
	Nodes []string
	// TokenFile holds the token; "" sends none.
	TokenFile string
	// CAFile holds the certificates that sign those of the nodes. With it,
	// addresses without a scheme are called by TLS.
	CAFile string
	// Timeout bounds one call of one node.
	Timeout time.Duration
	// Passed is told of each node that was passed over; it may be nil.
	Passed func(address string, cause error)
}

// programName is what operators type.
const programName = "yuccaroute"

// Open returns the nodes. Nothing is sent yet.
func Open(options Options) (*operator.Nodes, error) {
	if len(options.Nodes) == 0 {
		return nil, errors.New("no node given; use --node ip:port, the administration address of any node")
	}
	if options.Timeout <= 0 {
		return nil, errors.Errorf("--timeout %s is not positive", options.Timeout)
	}
	token, err := readToken(options.TokenFile)
	if err != nil {
		return nil, err
	}
	caller, err := newCaller(options.CAFile)
	if err != nil {
		return nil, err
	}
	var nodes []operator.Node
	for _, address := range options.Nodes {
		nodes = append(nodes, operator.Node{Address: address, API: client.New(options.url(address), token, caller)})
	}
	return operator.NewNodes(nodes, options.Timeout, options.Passed), nil
}

func (o *Options) url(address string) string {
	switch {
	case strings.Contains(address, "://"):
		return address
	case o.CAFile != "":
		return "https://" + address
	}
	return "http://" + address
}

// CommandLine returns the program with the flags that reach the same nodes.
func (o *Options) CommandLine() string {
	line := programName
	for _, address := range o.Nodes {
		line += " --node " + quoted(address)
	}
	if o.TokenFile != "" {
		line += " --token-file " + quoted(o.TokenFile)
	}
	if o.CAFile != "" {
		line += " --ca-file " + quoted(o.CAFile)
	}
	return line
}

// quoted returns a word as a shell reads it.
func quoted(word string) string {
	if !strings.ContainsAny(word, " \t\n'\"\\$`&|;<>()*?[]~#!{}") {
		return word
	}
	return "'" + strings.ReplaceAll(word, "'", `'\''`) + "'"
}

func readToken(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return "", errors.Wrap(err, "read the token")
	}
	token := strings.TrimSpace(string(text))
	if token == "" || strings.ContainsAny(token, " \t\r\n") {
		return "", errors.Errorf("%s does not hold one token", file)
	}
	return token, nil
}

// newCaller returns the HTTP client; the default one without a file.
func newCaller(caFile string) (*http.Client, error) {
	if caFile == "" {
		return nil, nil
	}
	text, err := os.ReadFile(caFile)
	if err != nil {
		return nil, errors.Wrap(err, "read the certificates")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.Errorf("%s holds no certificate in PEM", caFile)
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}
	return &http.Client{Transport: transport}, nil
}
