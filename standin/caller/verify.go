package caller

import (
	"bytes"

	"github.com/yuccaroute/yuccaroute/client"
)

// readAnswer returns the token in an answer's body and whether the body is
// whole. A stand-in target begins and ends its body with the token on a line
// of its own, so that a cut shows at the end and a mixture of two answers in a
// difference between both ends. Headers are not used: they travel apart from
// the body.
func readAnswer(a *client.Answer) (token string, whole bool) {
	lines := bytes.TrimSuffix(a.Body, []byte("\n"))
	if len(lines) == len(a.Body) {
		return "", false
	}
	first, _, _ := bytes.Cut(lines, []byte("\n"))
	last := lines[bytes.LastIndexByte(lines, '\n')+1:]
	return string(first), len(first) > 0 && bytes.Equal(first, last)
}
