package demo

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// A request and its answer each take the one-way delay, the opening takes a
// round trip, and an end that closes closes the other after what it sent.
func TestCallerDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dialed, entry := net.Pipe()
		start := time.Now()
		caller := delayCaller(dialed)
		expectAfter(t, "opened", start, 2*callerDelay)
		expectPassage(t, caller, entry, "request")
		expectPassage(t, entry, caller, "answer")
		go func() { _, _ = entry.Write([]byte("last")); _ = entry.Close() }()
		if got, err := io.ReadAll(caller); string(got) != "last" || err != nil {
			t.Errorf("read %q and %v until the end", got, err)
		}
	})
}

// expectPassage sends text and expects it after the one-way delay.
func expectPassage(t *testing.T, from io.Writer, to io.Reader, text string) {
	t.Helper()
	start := time.Now()
	go func() { _, _ = io.WriteString(from, text) }()
	got := make([]byte, len(text))
	if _, err := io.ReadFull(to, got); err != nil || string(got) != text {
		t.Fatalf("read %q and %v, want %q", got, err, text)
	}
	expectAfter(t, text, start, callerDelay)
}

func expectAfter(t *testing.T, what string, start time.Time, want time.Duration) {
	t.Helper()
	if got := time.Since(start); got != want {
		t.Errorf("%s after %s, want %s", what, got, want)
	}
}
