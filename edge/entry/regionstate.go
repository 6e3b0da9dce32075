package entry

import (
	"slices"
	"sync"

	"github.com/sirupsen/logrus"
)

// regionState holds the last known state of the region, so that each change is logged
// once. It is safe for concurrent use.
type regionState struct {
	log *logrus.Entry

	mu      sync.Mutex
	role    role
	sharers []string
}

// role is this VM's part in the exchange of reports within its region.
type role struct {
	// listens is set when this VM receives the reports of all VMs of a large region,
	// sendsDigests when it is the listener that sends the digests.
	listens, sendsDigests bool
	// digestsMissing is set when expected digests do not arrive.
	digestsMissing bool
}

func (s *regionState) setRole(role role) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.role
	s.role = role
	if role.digestsMissing && !old.digestsMissing {
		s.log.Warn("entry: digests lost")
	}
	if old.digestsMissing && !role.digestsMissing {
		s.log.Info("entry: digests regained")
	}
	if role.listens != old.listens || role.sendsDigests != old.sendsDigests {
		s.log.WithFields(logrus.Fields{"listens": role.listens, "sends_digests": role.sendsDigests}).
			Info("entry: role in the region changed")
	}
}

// listens reports whether this VM receives the reports of all VMs of a large region.
func (s *regionState) listens() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.role.listens
}

// setSharers sets the sorted names of the VMs that share the region's work.
func (s *regionState) setSharers(names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Equal(names, s.sharers) {
		return
	}
	s.log.WithFields(logrus.Fields{
		"vms": len(names), "gone": without(s.sharers, names), "new": without(names, s.sharers),
	}).Info("entry: VMs of the region changed")
	s.sharers = names
}

// without returns the names that are not in others, which is sorted.
func without(names, others []string) []string {
	var left []string
	for _, name := range names {
		if _, found := slices.BinarySearch(others, name); !found {
			left = append(left, name)
		}
	}
	return left
}
