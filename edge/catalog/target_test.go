package catalog

import (
	"fmt"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
)

// watchLog replaces the fixture's log with one that can be inspected.
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

// A late registration of an earlier start must not replace a newer one or revive a removed
// target, as nobody listens on its address any more.
func TestStaleRegistrationIsIgnored(t *testing.T) {
	f := newFixture()
	f.put("target/a", "ready 100")
	f.put("target/a", "ready 200")
	f.put("target/a", "draining 100")
	if got := f.View().Targets; len(got) != 1 || got[0].StartedMillis != 200 || got[0].Draining {
		t.Fatalf("targets %+v", got)
	}
	f.remove("target/a")
	f.put("target/a", "ready 100")
	if got := f.targets(); len(got) != 0 {
		t.Fatalf("targets %v after the later start was removed", got)
	}
}

// A target whose registration is overwritten must get no requests until it registers again;
// other targets are unaffected, and each key is logged once.
func TestInvalidRegistrationDrainsTarget(t *testing.T) {
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
	if n := countLines(hook, "catalog: invalid target registration, target gets no new requests"); n != 2 {
		t.Errorf("%d lines for two invalid registrations", n)
	}
	f.put("target/a", "ready 100")
	if got := f.View().Targets; got[0].Draining {
		t.Errorf("targets %+v after the target registered again", got)
	}
}

// Invalid values under ever new keys must not flood the log.
func TestInvalidRegistrationsDoNotFillTheLog(t *testing.T) {
	f := newFixture()
	hook := f.watchLog()
	for i := range maxRemembered + 100 {
		f.put(fmt.Sprint("target/", i), "neither")
	}
	if n := len(hook.AllEntries()); n != maxRemembered {
		t.Errorf("%d lines, want %d", n, maxRemembered)
	}
}

// An unknown route kind must be logged once, not with each configuration version.
func TestUnknownKindIsLoggedOnce(t *testing.T) {
	f := newFixture()
	hook := f.watchLog()
	for range 3 {
		f.put("config", "kind novel")
	}
	if n := countLines(hook, "catalog: unknown route kind, its requests are never retried"); n != 1 {
		t.Errorf("%d lines for one kind", n)
	}
}
