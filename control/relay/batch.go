package relay

import (
	"context"
	"sync"

	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/api/result"
)

// RenewFunc answers one report as the decider of its account.
type RenewFunc func(ctx context.Context, report *peerpb.RenewRequest) *peerpb.RenewResponse

// AnswerBatch answers a batch at the decider: each report by itself, in the order of
// the batch, as if its node had sent it. The answers to nodes that are short are
// held by renew, so these are asked for beside the others.
func AnswerBatch(ctx context.Context, batch *peerpb.BatchRequest, renew RenewFunc) *peerpb.BatchResponse {
	if len(batch.Reports) == 0 || len(batch.Reports) > maxHeld {
		return &peerpb.BatchResponse{Code: uint32(result.BadRequest)}
	}
	reports := unfold(batch)
	answers := make([]*peerpb.RenewResponse, len(reports))
	var held sync.WaitGroup
	for i, report := range reports {
		if report.Short {
			held.Go(func() { answers[i] = renew(ctx, report) })
			continue
		}
		answers[i] = renew(ctx, report)
	}
	held.Wait()
	return foldAnswers(answers)
}
