package store

import "context"

type staleKey struct{}

// AllowStale marks the listings made under a context as ones that may be seconds old,
// which the service counts as a tenth of a call. The listing says at which revision it
// is, so that a watch from there brings what changed since.
func AllowStale(ctx context.Context) context.Context {
	return context.WithValue(ctx, staleKey{}, true)
}

// IsStaleAllowed reports whether AllowStale marked the context.
func IsStaleAllowed(ctx context.Context) bool {
	marked, _ := ctx.Value(staleKey{}).(bool)
	return marked
}
