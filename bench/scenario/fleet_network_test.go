package scenario

import (
	"errors"
	"net"
	"net/netip"
	"testing"

	"github.com/yuccaroute/yuccaroute/membership"
	"github.com/yuccaroute/yuccaroute/store"
)

// While a region is cut off, no connection may cross its border and neither store nor VM list may
// answer it, or the return of a region is measured that never was away.
func TestCutRegionReachesNothing(t *testing.T) {
	w := newFleetWorld()
	n := newRegionNetwork(w, regionName(0))
	inside, outside := listenAt(t), listenAt(t)
	w.list.Store(&membership.List{VMs: []membership.VM{
		{ID: "inside", Region: regionName(0), Peer: inside}, {ID: "outside", Region: regionName(1), Peer: outside},
	}})
	out, in := n.dialer(regionName(0)), n.dialer(regionName(1))
	conn, err := out(t.Context(), outside.String())
	if err != nil {
		t.Fatal(err)
	}
	if closed := n.setCut(true); closed != 1 {
		t.Errorf("the cut closed %d connections, want 1", closed)
	}
	if _, err := conn.Write([]byte("x")); err == nil {
		t.Error("a connection that crosses outlived the cut")
	}
	if _, err := out(t.Context(), outside.String()); !errors.Is(err, errCut) {
		t.Errorf("out of the region: %v, want %v", err, errCut)
	}
	if _, err := in(t.Context(), inside.String()); !errors.Is(err, errCut) {
		t.Errorf("into the region: %v, want %v", err, errCut)
	}
	if _, err := out(t.Context(), inside.String()); err != nil {
		t.Errorf("within the region: %v", err)
	}
	if _, err := n.store.Get(t.Context(), "key"); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("store: %v, want %v", err, store.ErrUnavailable)
	}
	if _, err := n.List(t.Context()); !errors.Is(err, errCut) {
		t.Errorf("VM list: %v, want %v", err, errCut)
	}
	n.setCut(false)
	if _, err := in(t.Context(), inside.String()); err != nil {
		t.Errorf("after the cut: %v", err)
	}
}

// listenAt returns the address of a listener that lasts for the test.
func listenAt(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return netip.MustParseAddrPort(l.Addr().String())
}
