package node_test

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"github.com/yuccaroute/yuccaroute/admin/client"
	"github.com/yuccaroute/yuccaroute/config/changelog"
	"github.com/yuccaroute/yuccaroute/node"
	"github.com/yuccaroute/yuccaroute/store/faultkv"
)

// blockCount is enough caller blocks to be content of their own.
const blockCount = 5000

// withBlocks is the account with many caller blocks from a second octet on, in
// place of the one.
func withBlocks(octet int) string {
	var list strings.Builder
	for i := range blockCount {
		fmt.Fprintf(&list, ", 10.%d.%d.0/24", octet+i>>8, i&255)
	}
	return strings.Replace(accountText, "127.0.0.0/8", "127.0.0.0/8"+list.String(), 1)
}

// Blocks that reach nodes apart from their account must match the state that a node shows, through a
// change taken back, an outage and a replaced VM.
func TestBlocksApartFromTheAccount(t *testing.T) {
	s := newSystem(t)
	kv := faultkv.New(s.platform.KV(), nil)
	s.adjust = func(o *node.Options) { o.Store = kv }
	for i, place := range places {
		s.add("entry-"+string(rune('a'+i)), place)
	}
	for _, octet := range []int{1, 101, 1} {
		wanted := s.apply(changelog.KindAccount, accountName, withBlocks(octet))
		s.until("the blocks are in force", func() bool { return s.oldest() == wanted })
		s.mustKnow(octet, 102-octet)
	}
	kv.SetOutage(true)
	fresh := s.add("entry-new", "north-b")
	s.until("the new node has the account", func() bool { return revision(fresh) == revision(s.nodes[0]) })
	s.mustKnow(1, 101)
	live, err := client.New("http://"+fresh.AdminAddress(), "", nil).LiveAccount(s.ctx, accountName)
	if err != nil {
		t.Fatal(err)
	}
	if got := len(live.Account.Callers); got != blockCount+1 {
		t.Errorf("the API shows %d blocks", got)
	}
}

// mustKnow fails if a node does not place callers of the blocks from one octet
// on, or does so for the other.
func (s *system) mustKnow(octet, other int) {
	s.t.Helper()
	for _, n := range s.nodes {
		for second, want := range map[int]bool{octet: true, other: false} {
			address := netip.AddrFrom4([4]byte{10, byte(second), 7, 7})
			if _, got := n.CallerRegion(accountName, address); got != want {
				s.t.Fatalf("%s: callers of %s are known: %v", n.VM().ID, address, got)
			}
		}
	}
}
