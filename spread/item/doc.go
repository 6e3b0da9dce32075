// Package item holds the versioned items of one node: for each key the latest
// state it has seen, an immutable snapshot for readers, and digests by which
// two nodes find out cheaply where they differ.
//
// The invariant is that no key ever goes back to an older version, whatever
// order states arrive in. Deletions are states too (tombstones): if a deleted
// key were just dropped, a relay that lags would bring it back.
package item
