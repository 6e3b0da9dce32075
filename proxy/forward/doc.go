// Package forward carries one exchange at a time over one connection to a
// target: it sends a request, reads the whole answer and tells how certain it
// is that the request ran.
//
// It never opens a connection, never sends a request twice and never uses a
// connection again whose last exchange did not end cleanly.
package forward
