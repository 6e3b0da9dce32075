package forward

import (
	"context"
	"errors"

	"github.com/yuccaroute/yuccaroute/api/result"
)

// notSentCode names a failure before the first byte was taken.
func notSentCode(ctx context.Context, err error) result.Code {
	if isTimeout(err) || ctx.Err() != nil {
		return result.DeadlineBeforeSend
	}
	return result.ConnectFailed
}

// sentCode names a failure after at least one byte was taken.
func sentCode(ctx context.Context, err error) result.Code {
	if errors.Is(ctx.Err(), context.Canceled) {
		return result.CallerGone
	}
	if isTimeout(err) || ctx.Err() != nil {
		return result.DeadlineAfterSend
	}
	return result.ConnectionLost
}

func headCode(ctx context.Context, err error) result.Code {
	if errors.Is(err, errOverLimit) {
		return result.AnswerTooLarge
	}
	return sentCode(ctx, err)
}

func bodyCode(ctx context.Context, err error) result.Code {
	if errors.Is(err, errOverLimit) || errors.Is(err, errMemory) {
		return result.AnswerTooLarge
	}
	code := sentCode(ctx, err)
	if code == result.ConnectionLost {
		return result.AnswerTruncated
	}
	return code
}
