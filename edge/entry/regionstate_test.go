package entry

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
)

// An engineer asks why a cold target got requests from a VM that should not have sent any.
// The log tells from when on that VM took another one for gone, and when it got no digest.
func TestEachChangeOfBeliefIsLoggedOnce(t *testing.T) {
	logger, hook := test.NewNullLogger()
	b := &beliefs{log: logrus.NewEntry(logger)}
	for range 2 {
		b.setSharers([]string{"a", "b", "c"})
		b.setRole(role{})
	}
	for range 2 {
		b.setSharers([]string{"a", "c", "d"})
		b.setRole(role{missing: true})
	}
	b.setRole(role{listens: true, sends: true})
	var lines []string
	for _, entry := range hook.AllEntries() {
		lines = append(lines, entry.Message)
	}
	want := []string{
		"entry: VMs of the region changed", "entry: VMs of the region changed", "entry: digests lost",
		"entry: digests regained", "entry: role in the region changed",
	}
	if diff := cmp.Diff(want, lines); diff != "" {
		t.Fatal(diff)
	}
	second := hook.AllEntries()[1].Data
	if diff := cmp.Diff(logrus.Fields{"vms": 3, "gone": []string{"b"}, "new": []string{"d"}}, second); diff != "" {
		t.Error(diff)
	}
}
