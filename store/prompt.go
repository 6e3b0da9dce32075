package store

import "context"

type promptKey struct{}

// Prompt marks the calls made under a context as ones that must not be held
// back: an adapter that would delay the call, to keep its rate or because the
// service failed lately, returns ErrUnavailable at once. It is for calls on the
// path of a request, whose caller would wait in vain and keep its memory.
func Prompt(ctx context.Context) context.Context {
	return context.WithValue(ctx, promptKey{}, true)
}

// IsPrompt reports whether Prompt marked the context.
func IsPrompt(ctx context.Context) bool {
	marked, _ := ctx.Value(promptKey{}).(bool)
	return marked
}
