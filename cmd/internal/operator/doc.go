// Package operator does what the command-line tool offers to operators: it
// reads documents from files, finds the sequence that a change is based on,
// sends changes to the nodes and settles lost answers.
package operator
