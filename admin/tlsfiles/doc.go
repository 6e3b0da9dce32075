// Package tlsfiles serves TLS with keys and certificates from files, which are
// read again when they change. A VM's certificate can so be renewed without a
// restart.
//
// Peers authenticate each other: both sides must have a certificate that the
// authority file's certificates signed. The administration API shows the same
// certificate and knows its callers by tokens.
package tlsfiles
