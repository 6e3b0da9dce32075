package spread

import (
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/spread/item"
)

// apply offers an item to the hub and logs a version conflict.
func (s *Service) apply(it item.Item, from *changeQueue) item.Outcome {
	old, found := s.Snapshot().Get(it.Key)
	if found && old.SameVersion(it) && old.Sum != it.Sum {
		s.log.Warnf("spread: conflicting states of %s at version %d.%d, all nodes keep the one with the higher checksum", it.Key, it.Epoch, it.Sequence)
	}
	return s.hub.apply(it, from)
}

// applyAll applies the items of one message. It returns an error for invalid
// items after applying the valid ones.
func (s *Service) applyAll(items []*peerpb.Item, from *changeQueue) error {
	var failure error
	for _, p := range items {
		it, err := fromProto(p)
		if err != nil {
			failure = err
			continue
		}
		s.apply(it, from)
	}
	return failure
}
