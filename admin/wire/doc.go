// Package wire holds the messages of the administration API, which its server
// and its client share.
package wire
