package forward

import (
	"context"
	"errors"

	"github.com/yuccaroute/yuccaroute/api/responsehead"
	"github.com/yuccaroute/yuccaroute/api/result"
)

// codeBeforeSend classifies a failure before any byte was written.
func codeBeforeSend(ctx context.Context, err error) result.Code {
	if isTimeout(err) || ctx.Err() != nil {
		return result.DeadlineBeforeSend
	}
	return result.ConnectFailed
}

// codeAfterSend classifies a failure after at least one byte was written.
func codeAfterSend(ctx context.Context, err error) result.Code {
	if errors.Is(ctx.Err(), context.Canceled) {
		return result.CallerGone
	}
	if isTimeout(err) || ctx.Err() != nil {
		return result.DeadlineAfterSend
	}
	return result.ConnectionLost
}

func headerReadCode(ctx context.Context, err error) result.Code {
	if errors.Is(err, errResponseTooLarge) {
		return result.AnswerTooLarge
	}
	if errors.Is(err, errExchangeMismatch) || errors.Is(err, responsehead.ErrMalformed) {
		return result.AnswerTruncated
	}
	return codeAfterSend(ctx, err)
}

func bodyReadCode(ctx context.Context, err error) result.Code {
	if errors.Is(err, errResponseTooLarge) || errors.Is(err, errNoMemory) {
		return result.AnswerTooLarge
	}
	code := codeAfterSend(ctx, err)
	if code == result.ConnectionLost {
		return result.AnswerTruncated
	}
	return code
}
