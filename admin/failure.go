package admin

import (
	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/config"
	"github.com/yuccaroute/yuccaroute/config/changelog"
	"github.com/yuccaroute/yuccaroute/store"
)

// failure is an error with its result code.
type failure struct {
	code    result.Code
	message string
}

// Error implements error.
func (f *failure) Error() string { return f.message }

// errorOf turns an error into the answer. An unknown outcome is looked for
// first: an error that holds one must never read as "not run".
func errorOf(err error) *wire.Error {
	answer := &wire.Error{Message: err.Error()}
	answer.Code = codeOf(err)
	info := result.InfoOf(answer.Code)
	answer.Name = info.Name
	answer.Outcome = info.Outcome.String()
	answer.Retry = info.Retry
	var problems config.Problems
	if errors.As(err, &problems) {
		answer.Problems = problems
		answer.Message = info.Meaning
	}
	var conflict *changelog.ConflictError
	if errors.As(err, &conflict) {
		answer.Conflict = &wire.Conflict{Wanted: conflict.Wanted, Current: conflict.Current}
		for i := range conflict.Changes {
			answer.Conflict.Changes = append(answer.Conflict.Changes, changeOf("", &conflict.Changes[i]))
		}
	}
	return answer
}

func codeOf(err error) result.Code {
	var (
		unknown  *changelog.UnknownError
		own      *failure
		problems config.Problems
		conflict *changelog.ConflictError
		reused   *changelog.ReusedError
		tooLarge *changelog.TooLargeError
		owned    *changelog.OwnedError
		back     *changelog.WentBackError
		fork     *changelog.ForkError
	)
	switch {
	case errors.As(err, &unknown):
		return result.ChangeUnknown
	case errors.As(err, &own):
		return own.code
	case errors.As(err, &problems), errors.As(err, &reused), errors.As(err, &owned):
		return result.InvalidChange
	case errors.As(err, &conflict):
		return result.RevisionConflict
	case errors.As(err, &tooLarge):
		return result.ChangeTooLarge
	case errors.As(err, &back), errors.As(err, &fork), errors.Is(err, changelog.ErrNotNewest):
		return result.StoreWentBack
	case errors.Is(err, changelog.ErrNotFound), errors.Is(err, store.ErrNotFound):
		return result.NotFound
	case errors.Is(err, changelog.ErrBusy):
		return result.StoreConflict
	case errors.Is(err, store.ErrUnavailable):
		return result.StoreUnavailable
	case errors.Is(err, store.ErrUnknown):
		return result.StoreUnknown
	default:
		return result.Internal
	}
}
