// Package configcheck decides, from outside, whether changes of the
// configuration kept their promise: what operators were told and what each node
// had in force is compared with the history in the store, read once no write is
// under way any more. It knows nothing of the system's own state.
//
// Each change writes a mark, a number that no other change writes, so that a
// document read or in force tells which change made it.
package configcheck
