package storetest

import "github.com/yuccaroute/yuccaroute/store"

type action uint8

const (
	actionGet action = iota
	actionSwap
	actionDelete
)

// input holds the arguments of a call.
type input struct {
	action   action
	key      string
	value    string
	expected store.Revision
}

type outcome uint8

const (
	outcomeSucceeded outcome = iota
	outcomeConflict
	outcomeNotFound
	outcomeUnavailable
	outcomeUnknown
)

// output holds the result of a call.
type output struct {
	outcome outcome
	// value and revision are those read or written, or the current revision of
	// a conflict.
	value    string
	revision store.Revision
}
