package inifile

import (
	"fmt"
	"strings"
)

// Problem is one fault of a document.
type Problem struct {
	// File names the document, for example a path or "account daehan".
	File string `json:"file"`
	// Section and Key tell where; both are empty for the document as a whole.
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	// Line counts from 1; 0 means that the fault is not on one line, as with a
	// key that is missing.
	Line  int    `json:"line,omitempty"`
	Value string `json:"value,omitempty"`
	// Message tells what is wrong.
	Message string `json:"message"`
	// Permitted tells which values are permitted.
	Permitted string `json:"permitted,omitempty"`
}

// String returns the problem on one line.
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	b.WriteString(": ")
	if p.Section != "" {
		fmt.Fprintf(&b, "[%s] ", p.Section)
	}
	if p.Key != "" {
		fmt.Fprintf(&b, "%s: ", p.Key)
	}
	b.WriteString(p.Message)
	if p.Value != "" {
		fmt.Fprintf(&b, ", got %q", p.Value)
	}
	if p.Permitted != "" {
		fmt.Fprintf(&b, "; permitted: %s", p.Permitted)
	}
	return b.String()
}

// Problems is every fault found, as one error.
type Problems []Problem

// Error implements error with one line a problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems as an error, or nil when there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}
