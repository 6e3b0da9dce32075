package proxy

import "net/http"

// watcher is a ResponseWriter's connection that tells when the caller closed
// it.
type watcher interface {
	// WatchClose calls gone once the caller has closed the connection, until
	// stop is called.
	WatchClose(gone func()) (stop func())
}

// watchCaller watches the caller's connection if it can be watched.
func watchCaller(w http.ResponseWriter, gone func()) (stop func()) {
	if caller, ok := w.(watcher); ok {
		return caller.WatchClose(gone)
	}
	return func() {}
}
