package spread

import (
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/spread/item"
)

// apply offers an item to the node and reports a clash of versions.
func (s *Service) apply(it item.Item, from *waiter) item.Outcome {
	old, found := s.Snapshot().Get(it.Key)
	if found && old.SameVersion(it) && old.Sum != it.Sum {
		s.log.Warnf("spread: two states of %s claim version %d.%d, one is kept everywhere", it.Key, it.Epoch, it.Sequence)
	}
	return s.hub.apply(it, from)
}

// applyAll offers the items of one message. Items that can't be valid are
// reported after the others were taken.
func (s *Service) applyAll(items []*peerpb.Item, from *waiter) error {
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
