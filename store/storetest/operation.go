package storetest

import "github.com/yuccaroute/yuccaroute/store"

type action uint8

const (
	actionGet action = iota
	actionSwap
	actionDelete
)

// input is what a client asked for.
type input struct {
	action   action
	key      string
	value    string
	expected store.Revision
}

type outcome uint8

const (
	outcomeDone outcome = iota
	outcomeConflict
	outcomeNotFound
	outcomeUnavailable
	outcomeUnknown
)

// output is what the client was told.
type output struct {
	outcome outcome
	// value and revision are what was read, written or found in conflict.
	value    string
	revision store.Revision
}
