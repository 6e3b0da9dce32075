// Package admin is the administration API over HTTP. Every node serves it; it
// reads and changes templates and accounts through the change log in the
// store, and answers from the node's memory what the store is not needed for.
package admin
