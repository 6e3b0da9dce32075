package store

import "context"

type staleKey struct{}

// AllowStale returns a context whose listings may be seconds old; the service
// charges them as a tenth of a call. A watch from the listing's revision returns
// the changes since.
func AllowStale(ctx context.Context) context.Context {
	return context.WithValue(ctx, staleKey{}, true)
}

// ForbidStale returns a context that takes back AllowStale.
func ForbidStale(ctx context.Context) context.Context {
	return context.WithValue(ctx, staleKey{}, false)
}

// IsStaleAllowed reports whether AllowStale holds.
func IsStaleAllowed(ctx context.Context) bool {
	marked, _ := ctx.Value(staleKey{}).(bool)
	return marked
}
