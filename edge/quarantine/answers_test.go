package quarantine

import (
	"fmt"
	"testing"
)

// Guards against answers that count for ever, and memory that grows with the number of requests.
func TestAnswersExpire(t *testing.T) {
	var a answers
	f := requestNamed("f")
	if a.has(start, f) {
		t.Error("answered before any answer")
	}
	a.add(start, f)
	if !a.has(start.Add(answerTTL), f) || a.has(start.Add(2*answerTTL), f) {
		t.Error("an answer is not remembered for answerTTL or not forgotten after twice that")
	}
	for i := range 3 * maxAnswers {
		a.add(start.Add(2*answerTTL), requestNamed(fmt.Sprint(i)))
	}
	if n := len(a.current) + len(a.previous); n > 2*maxAnswers {
		t.Errorf("%d answers are kept", n)
	}
}
