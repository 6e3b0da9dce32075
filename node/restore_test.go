package node_test

import (
	"errors"
	"testing"

	"github.com/yuccaroute/yuccaroute/admin/client"
	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/config/changelog"
	"github.com/yuccaroute/yuccaroute/node"
	"github.com/yuccaroute/yuccaroute/store/faultkv"
)

// A node that starts after the store was restored from an older copy must learn the accepted state
// from its peers, and neither take nor change the older one.
func TestRestoredStore(t *testing.T) {
	s := newSystem(t)
	var own *faultkv.Store
	s.adjust = func(o *node.Options) {
		own = faultkv.New(s.platform.KV(), nil)
		o.Store = own
	}
	var stores []*faultkv.Store
	for i, place := range places {
		s.add("entry-"+string(rune('a'+i)), place)
		stores = append(stores, own)
	}
	s.until("all nodes have the first state", func() bool { return s.oldest() > 0 })
	s.platform.Backup()
	accepted := s.apply(changelog.KindAccount, accountName, withCapacity(2900))
	s.until("all nodes have the accepted state", func() bool { return s.oldest() == accepted })

	for _, kv := range stores {
		kv.SetOutage(true)
	}
	s.platform.Restore()
	late := s.add("entry-late", "north-c")
	s.until("the late node has the accepted state", func() bool {
		s.mustNotGoBack(s.nodes[:len(stores)], accepted)
		return late.Status().Ready && revision(late) == accepted
	})
	s.until("the late node refuses to change the older state", func() bool {
		s.mustNotGoBack(s.nodes, accepted)
		return s.change(late) == result.StoreWentBack
	})

	for _, kv := range stores {
		kv.SetOutage(false)
	}
	s.until("a change is accepted again once the state is put back", func() bool {
		s.mustNotGoBack(s.nodes, accepted)
		return s.change(late) == result.OK
	})
	s.until("it is in force on all nodes", func() bool { return s.oldest() > accepted })
}

// oldest is the lowest revision of the account on any node.
func (s *system) oldest() uint64 {
	oldest := revision(s.nodes[0])
	for _, n := range s.nodes[1:] {
		oldest = min(oldest, revision(n))
	}
	return oldest
}

func (s *system) mustNotGoBack(nodes []*node.Node, accepted uint64) {
	s.t.Helper()
	for _, n := range nodes {
		if got := revision(n); got < accepted {
			s.t.Fatalf("node %s went back from revision %d to %d", n.VM().ID, accepted, got)
		}
	}
}

// change asks a node to change the account whatever its sequence is.
func (s *system) change(n *node.Node) result.Code {
	api := client.New("http://"+n.AdminAddress(), "", nil)
	_, err := api.Put(s.ctx, client.Account(accountName), client.Overwrite(), wire.ChangeRequest{Text: withCapacity(2800)})
	var refused *wire.Error
	switch {
	case err == nil:
		return result.OK
	case errors.As(err, &refused):
		return refused.Code
	}
	s.t.Fatal(err)
	return 0
}
