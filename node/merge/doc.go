// Package merge makes the accounts in force of a node from the documents that
// arrive: a template's change reaches a node as one document, whatever the number
// of its accounts.
//
// What holds, in whatever order items arrive, are lost or are repeated: each
// account put in force is of one cut that was accepted, and none is replaced by
// an older one. See docs/design/0003-configuration.md.
package merge
