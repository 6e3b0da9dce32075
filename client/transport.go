package client

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/yuccaroute/yuccaroute/api/responsehead"
)

// idleConnectionTime is shorter than the idle time of an entry VM, so that the
// client closes an idle connection first.
const idleConnectionTime = 20 * time.Second

// newTransport returns a transport on which nothing of a response with a malformed head counts.
func newTransport(options Options) http.RoundTripper {
	dialer := &net.Dialer{Timeout: options.ConnectTimeout}
	if options.LocalAddr.IsValid() {
		dialer.LocalAddr = &net.TCPAddr{IP: options.LocalAddr.AsSlice()}
	}
	return responsehead.NewTransport(&http.Transport{
		DialContext:         dialContext(dialer, options.Opened),
		Proxy:               nil,
		DisableCompression:  true,
		MaxConnsPerHost:     options.MaxConnections,
		MaxIdleConnsPerHost: options.MaxConnections,
		IdleConnTimeout:     idleConnectionTime,
	})
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func dialContext(dialer *net.Dialer, opened func(net.Conn) net.Conn) dialFunc {
	if opened == nil {
		return dialer.DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return opened(conn), nil
	}
}

// onceBody is a request body that net/http cannot send a second time.
//
// Guard against a hidden retry: when a kept-alive connection ends before the
// answer, http.Transport sends the request again by itself if it has no body
// or a body it can rewind, and its method is GET or it carries an
// Idempotency-Key. A target would then run an order twice. The transport holds
// a request for replayable only if Body is nil, http.NoBody or has GetBody; a
// onceBody is none of these, also when it is empty. The one re-send left is on
// a connection that took no byte of the request.
type onceBody struct{ reader bytes.Reader }

func newOnceBody(body []byte) *onceBody {
	b := &onceBody{}
	b.reader.Reset(body)
	return b
}

// Read implements io.Reader.
func (b *onceBody) Read(p []byte) (int, error) { return b.reader.Read(p) }

// Close implements io.Closer.
func (b *onceBody) Close() error { return nil }

var _ io.ReadCloser = (*onceBody)(nil)

func newHTTPRequest(ctx context.Context, method, address, path string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return nil, err
	}
	req.Body = newOnceBody(body)
	req.ContentLength = int64(len(body))
	return req, nil
}
