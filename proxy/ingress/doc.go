// Package ingress is the server side towards callers, on nbio's nbhttp engine.
// nbhttp hands a request over once its body is whole, waits without a bound
// for callers that read slowly, answers malformed input by closing, and does
// not tell a handler that its caller has gone. This package adds what is
// missing: bodies are admitted by their head and bounded in sum, an answer
// counts as given when the system has taken its last byte, bad input gets a
// numbered result, and a handler learns when its caller goes.
package ingress
