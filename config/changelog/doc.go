// Package changelog keeps templates and accounts in the platform's key-value
// service and changes them one at a time.
//
// A template and its accounts share one head key. The head lists the content
// hash of each document; the documents are immutable and written before the
// head. One compare-and-swap on the head commits a change, so that
//
//   - template and accounts are always read at one cut,
//   - two changes that are valid alone cannot become invalid together, as the
//     second one is checked against the result of the first,
//   - a late write cannot undo a newer one: the head has moved on.
//
// The head also lists the last changes with their identifiers. A change whose
// answer was lost is found there, or, when newer changes pushed it out, among
// the audit records, each of which is written before its change can leave the
// head.
package changelog
