package node

import (
	"context"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/control"
	"github.com/yuccaroute/yuccaroute/membership"
	"github.com/yuccaroute/yuccaroute/membership/feed"
	"github.com/yuccaroute/yuccaroute/membership/parts"
	"github.com/yuccaroute/yuccaroute/spread"
	"github.com/yuccaroute/yuccaroute/spread/item"
)

// makeFeed connects the VM list to the platform and to the other nodes.
func (n *Node) makeFeed() error {
	n.feed = feed.New(n.lister, listSpread{n.spread}, n.view, feed.Options{
		Interval: n.options.Settings.Platform.VMListInterval,
		Seeds:    n.deciders,
		Seed:     n.id.Incarnation,
		Logger:   n.log,
	})
	n.spread.OnItem(parts.Prefix, func(it item.Item) {
		n.feed.Apply(it.Key, it.Epoch, it.Sequence, it.Body)
	})
	return nil
}

// deciders returns the nodes that the store names as deciders. A node that
// starts while the list service is out knows no other; one of these is enough
// to learn the list from.
func (n *Node) deciders(ctx context.Context) []membership.VM {
	ctx, cancel := context.WithTimeout(ctx, n.options.Settings.Platform.CallTimeout)
	defer cancel()
	listing, err := n.store.List(ctx, control.DeciderPrefix)
	if err != nil {
		return nil
	}
	var vms []membership.VM
	for _, entry := range listing.Entries {
		ref := &peerpb.NodeRef{}
		if proto.Unmarshal(entry.Value, ref) != nil || ref.GetVm() == n.id.VM {
			continue
		}
		peer, err := netip.ParseAddrPort(ref.GetPeerAddress())
		if err != nil {
			continue
		}
		vms = append(vms, membership.VM{
			ID:     ref.GetVm(),
			Role:   membership.RoleEntry,
			Region: model.RegionName(ref.GetRegion()),
			Place:  model.PlaceName(ref.GetPlace()),
			Peer:   peer,
		})
	}
	return vms
}

// listSpread is what the feed uses of the spreading.
type listSpread struct{ service *spread.Service }

var _ feed.Replicator = listSpread{}

func (l listSpread) Ready() bool    { return l.service.Ready() }
func (l listSpread) Watching() bool { return l.service.Watching() }

func (l listSpread) Publish(key string, epoch, sequence uint64, body []byte) error {
	return l.service.Publish(key, epoch, sequence, body)
}

func (l listSpread) Part(key string) (epoch, sequence uint64, body []byte) {
	it, _ := l.service.Get(key)
	return it.Epoch, it.Sequence, it.Body
}

func (l listSpread) Reading() (feed.Reading, bool) {
	read, ok := l.service.ListRead()
	return feed.Reading(read), ok
}

func (l listSpread) RecordReading(epoch, sequence uint64, at time.Time) {
	l.service.RecordListRead(epoch, sequence, at)
}
