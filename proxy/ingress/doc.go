// Package ingress is the HTTP server for client connections, on nbio's nbhttp
// engine. nbhttp dispatches a request once its body is complete, has no write
// timeout for slow readers, closes the connection on malformed input, and does
// not notify a handler of a closed client connection. This package adds
// admission of bodies by their header with a bound on total memory, completion
// of a response when the kernel has accepted its last byte, result codes for
// bad input, and close notification for handlers.
package ingress
