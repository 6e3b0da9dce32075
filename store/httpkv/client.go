// Package httpkv is the adapter to the platform's key-value service over HTTP.
//
// It sends each call at most once. Whether a write may be tried again is the
// caller's decision, as only the caller can tell whether it took effect.
package httpkv

import (
	"net/http"

	"github.com/yuccaroute/yuccaroute/store"
)

// Client implements store.KV. It is safe for use by several goroutines.
type Client struct {
	options   Options
	base      string
	transport *http.Transport
	http      *http.Client
	pacer     *pacer
}

var _ store.KV = (*Client)(nil)

// New returns a client; it does not call the service.
func New(options Options) (*Client, error) {
	options = options.withDefaults()
	if err := options.check(); err != nil {
		return nil, err
	}
	transport := newTransport(options)
	return &Client{
		options:   options,
		base:      scheme(options) + options.Address + options.PathPrefix,
		transport: transport,
		http:      &http.Client{Transport: transport, CheckRedirect: refuseRedirect},
		pacer:     newPacer(options),
	}, nil
}

// Close ends the idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

func newTransport(options Options) *http.Transport {
	return &http.Transport{
		TLSClientConfig:     options.TLS,
		TLSHandshakeTimeout: options.Timeout,
		MaxIdleConnsPerHost: options.Burst,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
}

// refuseRedirect keeps the library from sending a write a second time to the
// place that a redirect names.
func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

func scheme(options Options) string {
	if options.TLS != nil {
		return "https://"
	}
	return "http://"
}
