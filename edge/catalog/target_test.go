package catalog

import (
	"fmt"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
)

// watchLog replaces the log of a fixture by one that can be read.
func (f *fixture) watchLog() *test.Hook {
	logger, hook := test.NewNullLogger()
	f.options.Logger = logrus.NewEntry(logger)
	return hook
}

func countLines(hook *test.Hook, message string) int {
	n := 0
	for _, line := range hook.AllEntries() {
		if line.Message == message {
			n++
		}
	}
	return n
}

// A target starts again under its id. The registration of the start before arrives late
// and must not bring that one back: it would name an address that nobody listens on.
func TestOlderStartDoesNotComeBack(t *testing.T) {
	f := newFixture()
	f.put("target/a", "ready 100")
	f.put("target/a", "ready 200")
	f.put("target/a", "draining 100")
	if got := f.View().Targets; len(got) != 1 || got[0].StartedMillis != 200 || got[0].Draining {
		t.Fatalf("targets %+v", got)
	}
	f.remove("target/a", false)
	f.put("target/a", "ready 100")
	if got := f.targets(); len(got) != 0 {
		t.Fatalf("targets %v after the later start has left", got)
	}
}

// Another writer replaces the entry of one target. Requests must not be sent there on the
// word of the entry before, those of the others go on, and the log has one line of it
// however often it is written. When the target registers again it is in use again.
func TestForeignEntryNamesNoTarget(t *testing.T) {
	f := newFixture()
	hook := f.watchLog()
	f.put("target/a", "ready 100")
	f.put("target/b", "ready 100")
	for range 5 {
		f.put("target/a", "what is this")
		f.put("target/a", "ready")
		f.put("target/c", "neither")
	}
	got := f.View().Targets
	if len(got) != 2 || !got[0].Draining || got[1].Draining {
		t.Fatalf("targets %+v", got)
	}
	if n := countLines(hook, "catalog: entry is no registration, it names no target to use"); n != 2 {
		t.Errorf("%d lines of two foreign entries", n)
	}
	f.put("target/a", "ready 100")
	if got := f.View().Targets; got[0].Draining {
		t.Errorf("targets %+v after the target registered again", got)
	}
}

// A writer fills the store with entries under ever new keys. The log stays bounded.
func TestForeignEntriesDoNotFillTheLog(t *testing.T) {
	f := newFixture()
	hook := f.watchLog()
	for i := range maxNoted + 100 {
		f.put(fmt.Sprint("target/", i), "neither")
	}
	if n := len(hook.AllEntries()); n != maxNoted {
		t.Errorf("%d lines, want %d", n, maxNoted)
	}
}

// Operators configure a kind of request that this program does not know. They learn it
// once and not with each version.
func TestUnknownKindIsLoggedOnce(t *testing.T) {
	f := newFixture()
	hook := f.watchLog()
	for range 3 {
		f.put("config", "kind novel")
	}
	if n := countLines(hook, "catalog: kind of route not known, its requests run at most once"); n != 1 {
		t.Errorf("%d lines of one kind", n)
	}
}
