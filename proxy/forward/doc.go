// Package forward performs HTTP/1.1 exchanges with a target, one at a time per
// connection: it sends a request, reads the complete response and classifies
// failures by whether the request may have run.
//
// It never opens connections, never retries a request and never reuses a
// connection whose last exchange did not end cleanly.
package forward
