package entry

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
)

// Each change of the sharing VMs, the digests and the role must be logged exactly once.
func TestRegionChangesAreLoggedOnce(t *testing.T) {
	logger, hook := test.NewNullLogger()
	s := &regionState{log: logrus.NewEntry(logger)}
	for range 2 {
		s.setSharers([]string{"a", "b", "c"})
		s.setRole(role{})
	}
	for range 2 {
		s.setSharers([]string{"a", "c", "d"})
		s.setRole(role{digestsMissing: true})
	}
	s.setRole(role{listens: true, sendsDigests: true})
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
