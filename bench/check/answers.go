package check

import "github.com/yuccaroute/yuccaroute/api/result"

// checkAnswers looks at answers told as whole. An answer with a foreign token
// is foreign whatever else is wrong with it.
func checkAnswers(in *Input, r *Report) {
	for i := range in.Told {
		told := &in.Told[i]
		if told.Outcome != result.Ran {
			continue
		}
		r.checked(ForeignAnswer)
		r.checked(PartialAnswer)
		if told.AnswerToken != "" && told.AnswerToken != told.Token {
			r.violated(ForeignAnswer, "%s got the answer to %s through %s", told.Token, told.AnswerToken, told.Entry)
			continue
		}
		if !told.Whole || told.AnswerToken == "" {
			r.violated(PartialAnswer, "%s got a part of its answer through %s", told.Token, told.Entry)
		}
	}
}
