package relay

import (
	"context"
	"sync"

	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/api/result"
)

// RenewFunc answers one report as the decider of its account.
type RenewFunc func(ctx context.Context, report *peerpb.RenewRequest) *peerpb.RenewResponse

// AnswerBatch answers a batch at the decider, processing its reports in order as if
// each node had sent its own. Reports of nodes short of capacity run concurrently,
// because renew holds their answers.
func AnswerBatch(ctx context.Context, batch *peerpb.BatchRequest, renew RenewFunc) *peerpb.BatchResponse {
	if len(batch.Reports) == 0 || len(batch.Reports) > maxPending {
		return &peerpb.BatchResponse{Code: uint32(result.BadRequest)}
	}
	reports := decodeBatch(batch)
	answers := make([]*peerpb.RenewResponse, len(reports))
	var pending sync.WaitGroup
	for i, report := range reports {
		if report.Short {
			pending.Go(func() { answers[i] = renew(ctx, report) })
			continue
		}
		answers[i] = renew(ctx, report)
	}
	pending.Wait()
	return encodeAnswers(answers)
}
