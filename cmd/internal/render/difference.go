package render

import (
	"github.com/pkg/errors"
	"github.com/pmezard/go-difflib/difflib"
)

// contextLines is how many unchanged lines surround a difference.
const contextLines = 3

// Difference returns the lines that differ between two texts as a unified
// diff, "" when none does.
func Difference(fromName, from, toName, to string) (string, error) {
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(from), FromFile: fromName,
		B: difflib.SplitLines(to), ToFile: toName,
		Context: contextLines,
	})
	return text, errors.Wrap(err, "compare texts")
}
