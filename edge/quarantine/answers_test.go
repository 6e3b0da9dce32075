package quarantine

import (
	"fmt"
	"testing"
)

// Guards against an answer that counts for ever, and memory that grows with the requests.
func TestAnswersAreForgotten(t *testing.T) {
	var a answers
	f := requestNamed("f")
	if a.has(start, f) {
		t.Error("answered before any answer")
	}
	a.add(start, f)
	if !a.has(start.Add(answerTTL), f) || a.has(start.Add(2*answerTTL), f) {
		t.Error("an answer is not remembered for one turn and forgotten after the second")
	}
	for i := range 3 * maxAnswers {
		a.add(start.Add(2*answerTTL), requestNamed(fmt.Sprint(i)))
	}
	if n := len(a.current) + len(a.previous); n > 2*maxAnswers {
		t.Errorf("%d answers are kept", n)
	}
}
