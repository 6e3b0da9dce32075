package responsehead

import "net/http"

// Transport checks the responses of another transport, which must speak HTTP/1 only. Of a response with a malformed head
// nothing counts: its request may have been executed, as one whose response was lost.
type Transport struct{ Base http.RoundTripper }

// maxHeadBytes bounds the heads that are read for one response. The default of net/http, 10 MB, takes many times that in
// memory once it is parsed.
const maxHeadBytes = 64 << 10

// NewTransport returns a Transport on base, and bounds the heads that base reads.
func NewTransport(base *http.Transport) Transport {
	base.MaxResponseHeaderBytes = maxHeadBytes
	return Transport{Base: base}
}

// RoundTrip implements http.RoundTripper. Errors: ErrMalformed, and those of Base.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := Check(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes those of Base, as http.Client asks for.
func (t Transport) CloseIdleConnections() {
	if c, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}
