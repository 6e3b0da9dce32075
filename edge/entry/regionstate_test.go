package entry

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
)

// An engineer asks why a cold target got requests from a VM that should not have sent any.
// The log tells from when on that VM took another one for gone, and when it got no digest.
func TestEachChangeOfTheRegionIsLoggedOnce(t *testing.T) {
	logger, hook := test.NewNullLogger()
	s := &regionState{log: logrus.NewEntry(logger)}
	for range 2 {
		s.setSharers([]string{"a", "b", "c"})
		s.setRole(role{})
	}
	for range 2 {
		s.setSharers([]string{"a", "c", "d"})
		s.setRole(role{missing: true})
	}
	s.setRole(role{listens: true, sends: true})
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
