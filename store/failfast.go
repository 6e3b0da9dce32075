package store

import "context"

type failFastKey struct{}

// WithFailFast returns a context whose calls must not be delayed: an adapter
// that would wait, for its rate limit or for a backoff after failures, returns
// ErrUnavailable at once. It is for calls on the request path, which would
// otherwise hold the request and its memory until the deadline.
func WithFailFast(ctx context.Context) context.Context {
	return context.WithValue(ctx, failFastKey{}, true)
}

// IsFailFast reports whether the context was made by WithFailFast.
func IsFailFast(ctx context.Context) bool {
	marked, _ := ctx.Value(failFastKey{}).(bool)
	return marked
}
