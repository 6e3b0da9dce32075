package relay

import (
	"google.golang.org/protobuf/proto"

	"github.com/yuccaroute/yuccaroute/api/peerpb"
)

// EncodeBatch makes a batch of the reports of one account. What they have in common
// stands in it once; see peerpb.BatchRequest. The reports are not changed.
func EncodeBatch(account string, reports []*peerpb.RenewRequest) *peerpb.BatchRequest {
	batch := &peerpb.BatchRequest{
		Account:      account,
		Region:       sameName(reports, func(r *peerpb.RenewRequest) string { return r.Node.GetRegion() }),
		Place:        sameName(reports, func(r *peerpb.RenewRequest) string { return r.Node.GetPlace() }),
		AppliedEpoch: commonest(reports, (*peerpb.RenewRequest).GetAppliedEpoch),
		PlanEpoch:    commonest(reports, (*peerpb.RenewRequest).GetPlanEpoch),
		PlanSequence: commonest(reports, (*peerpb.RenewRequest).GetPlanSequence),
	}
	for _, report := range reports {
		r := proto.CloneOf(report)
		r.Account = ""
		if batch.Region != "" {
			r.Node.Region = ""
		}
		if batch.Place != "" {
			r.Node.Place = ""
		}
		crossNumbers(batch, r)
		batch.Reports = append(batch.Reports, r)
	}
	return batch
}

// unfold returns the reports of a batch as they were, using its messages.
func unfold(batch *peerpb.BatchRequest) []*peerpb.RenewRequest {
	for _, r := range batch.Reports {
		r.Account = batch.Account
		if r.Node != nil {
			r.Node.Region = nameOr(r.Node.Region, batch.Region)
			r.Node.Place = nameOr(r.Node.Place, batch.Place)
		}
		crossNumbers(batch, r)
	}
	return batch.Reports
}

// crossNumbers turns the numbers of a report into their differences from those of
// the batch, and back.
func crossNumbers(batch *peerpb.BatchRequest, r *peerpb.RenewRequest) {
	r.AppliedEpoch ^= batch.AppliedEpoch
	r.PlanEpoch ^= batch.PlanEpoch
	r.PlanSequence ^= batch.PlanSequence
}

// foldAnswers makes a batch of answers, using the messages given.
func foldAnswers(answers []*peerpb.RenewResponse) *peerpb.BatchResponse {
	batch := &peerpb.BatchResponse{
		Epoch:        commonest(answers, (*peerpb.RenewResponse).GetEpoch),
		SurplusTtlMs: commonest(answers, (*peerpb.RenewResponse).GetSurplusTtlMs),
		NextMs:       commonest(answers, (*peerpb.RenewResponse).GetNextMs),
		Answers:      answers,
	}
	crossAnswers(batch)
	return batch
}

// DecodeAnswers returns the answers of a batch as they were, using its messages.
func DecodeAnswers(batch *peerpb.BatchResponse) []*peerpb.RenewResponse {
	crossAnswers(batch)
	return batch.Answers
}

func crossAnswers(batch *peerpb.BatchResponse) {
	for _, a := range batch.Answers {
		a.Epoch ^= batch.Epoch
		a.SurplusTtlMs ^= batch.SurplusTtlMs
		a.NextMs ^= batch.NextMs
	}
}

// sameName returns the name that all messages have, "" for none. A name that only
// most of them had could not be told from an empty one.
func sameName[M any](messages []M, name func(M) string) string {
	for _, m := range messages {
		if name(m) != name(messages[0]) {
			return ""
		}
	}
	return name(messages[0])
}

// commonest returns the number that most messages have.
func commonest[M any, N uint32 | uint64](messages []M, number func(M) N) N {
	counts := make(map[N]int)
	best := number(messages[0])
	for _, m := range messages {
		n := number(m)
		counts[n]++
		if counts[n] > counts[best] {
			best = n
		}
	}
	return best
}

func nameOr(name, common string) string {
	if name == "" {
		return common
	}
	return name
}
