package parts

import (
	"net/netip"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/membership"
)

func entry(id string) membership.VM {
	return membership.VM{
		ID: id, Role: membership.RoleEntry, State: membership.StateLeaving, Region: "tirol", Place: "tirol-1",
		Address: netip.MustParseAddrPort("10.0.0.1:80"), Peer: netip.MustParseAddrPort("[fe80::1]:81"),
	}
}

func TestRowsAreAsBefore(t *testing.T) {
	target := membership.VM{ID: "t", Role: membership.RoleTarget, Account: "daehan", Service: "dealer-desk"}
	for _, vm := range []membership.VM{entry("a"), target} {
		bodies, err := Split([]membership.VM{vm})
		if err != nil {
			t.Fatal(err)
		}
		got, unread, err := Decode(bodies[keyOf(vm.ID)])
		if err != nil || unread != 0 || !slices.Equal(got, []membership.VM{vm}) {
			t.Errorf("%+v became %+v, %d left out, %v", vm, got, unread, err)
		}
	}
}

// A node of a newer release spreads a VM with a role that this one does not
// know. The other VMs of the part must stay in force, or callers lose a target
// that works.
func TestRowOfANewerRelease(t *testing.T) {
	row, err := toRow(entry("a"))
	if err != nil {
		t.Fatal(err)
	}
	newer := proto.Clone(row).(*peerpb.ListRow)
	newer.Vm, newer.Role = "b", 99
	body, err := proto.Marshal(&peerpb.ListRows{Rows: []*peerpb.ListRow{newer, row}})
	if err != nil {
		t.Fatal(err)
	}
	got, unread, err := Decode(body)
	if err != nil || unread != 1 || !slices.Equal(got, []membership.VM{entry("a")}) {
		t.Errorf("%+v, %d left out, %v", got, unread, err)
	}
}
