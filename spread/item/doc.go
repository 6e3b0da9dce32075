// Package item holds the versioned items of one node: the latest state of each
// key, an immutable snapshot for readers, and digests that locate differences
// between two nodes.
//
// A key never returns to an older version, in whatever order states arrive.
// Deletions are states too (tombstones); otherwise an outdated relay could
// restore a deleted key.
package item
