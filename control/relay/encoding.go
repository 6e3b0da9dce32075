package relay

import (
	"google.golang.org/protobuf/proto"

	"github.com/yuccaroute/yuccaroute/api/peerpb"
)

// EncodeBatch encodes the reports of one account as a batch in which common values
// appear once; see peerpb.BatchRequest. It does not modify the reports.
func EncodeBatch(account string, reports []*peerpb.RenewRequest) *peerpb.BatchRequest {
	batch := &peerpb.BatchRequest{
		Account:      account,
		Region:       commonName(reports, func(r *peerpb.RenewRequest) string { return r.Node.GetRegion() }),
		Place:        commonName(reports, func(r *peerpb.RenewRequest) string { return r.Node.GetPlace() }),
		AppliedEpoch: mostCommon(reports, (*peerpb.RenewRequest).GetAppliedEpoch),
		PlanEpoch:    mostCommon(reports, (*peerpb.RenewRequest).GetPlanEpoch),
		PlanSequence: mostCommon(reports, (*peerpb.RenewRequest).GetPlanSequence),
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
		xorNumbers(batch, r)
		batch.Reports = append(batch.Reports, r)
	}
	return batch
}

// decodeBatch restores the reports of a batch in place.
func decodeBatch(batch *peerpb.BatchRequest) []*peerpb.RenewRequest {
	for _, r := range batch.Reports {
		r.Account = batch.Account
		if r.Node != nil {
			r.Node.Region = nameOr(r.Node.Region, batch.Region)
			r.Node.Place = nameOr(r.Node.Place, batch.Place)
		}
		xorNumbers(batch, r)
	}
	return batch.Reports
}

// xorNumbers XORs the numbers of a report with those of the batch. Applying it twice
// restores them.
func xorNumbers(batch *peerpb.BatchRequest, r *peerpb.RenewRequest) {
	r.AppliedEpoch ^= batch.AppliedEpoch
	r.PlanEpoch ^= batch.PlanEpoch
	r.PlanSequence ^= batch.PlanSequence
}

// encodeAnswers encodes answers as a batch, modifying them in place.
func encodeAnswers(answers []*peerpb.RenewResponse) *peerpb.BatchResponse {
	batch := &peerpb.BatchResponse{
		Epoch:        mostCommon(answers, (*peerpb.RenewResponse).GetEpoch),
		SurplusTtlMs: mostCommon(answers, (*peerpb.RenewResponse).GetSurplusTtlMs),
		NextMs:       mostCommon(answers, (*peerpb.RenewResponse).GetNextMs),
		Answers:      answers,
	}
	xorAnswers(batch)
	return batch
}

// DecodeAnswers restores the answers of a batch in place.
func DecodeAnswers(batch *peerpb.BatchResponse) []*peerpb.RenewResponse {
	xorAnswers(batch)
	return batch.Answers
}

func xorAnswers(batch *peerpb.BatchResponse) {
	for _, a := range batch.Answers {
		a.Epoch ^= batch.Epoch
		a.SurplusTtlMs ^= batch.SurplusTtlMs
		a.NextMs ^= batch.NextMs
	}
}

// commonName returns the name that all messages have, or "". A name that only some
// had could not be told apart from an empty one.
func commonName[M any](messages []M, name func(M) string) string {
	for _, m := range messages {
		if name(m) != name(messages[0]) {
			return ""
		}
	}
	return name(messages[0])
}

// mostCommon returns the most frequent number.
func mostCommon[M any, N uint32 | uint64](messages []M, number func(M) N) N {
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
