// Package client calls the administration API. Its verbs are those of the
// command-line tool.
package client
