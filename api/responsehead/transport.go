package responsehead

import "net/http"

// Transport checks the responses of another transport, which must speak HTTP/1 only. Of a response with a malformed head
// nothing counts: its request may have been executed, as one whose response was lost.
type Transport struct{ Base http.RoundTripper }

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
