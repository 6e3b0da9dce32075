package client

import "strconv"

// Match is the precondition of a change. The zero value sends none, which the
// server refuses.
type Match struct{ header, value string }

// Created requires that the object does not exist.
func Created() Match { return Match{"If-None-Match", "*"} }

// At requires that the object is at the sequence that was read.
func At(sequence uint64) Match {
	return Match{"If-Match", `"` + strconv.FormatUint(sequence, 10) + `"`}
}

// Overwrite requires nothing.
func Overwrite() Match { return Match{"If-Match", "*"} }
