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

func TestRowsRoundTrip(t *testing.T) {
	target := membership.VM{ID: "t", Role: membership.RoleTarget, Account: "daehan", Service: "dealer-desk"}
	for _, vm := range []membership.VM{entry("a"), target} {
		bodies, err := Split([]membership.VM{vm})
		if err != nil {
			t.Fatal(err)
		}
		got, skipped, err := Decode(bodies[keyOf(vm.ID)])
		if err != nil || skipped != 0 || !slices.Equal(got, []membership.VM{vm}) {
			t.Errorf("decoded %+v, want %+v; %d rows skipped, error %v", got, vm, skipped, err)
		}
	}
}

// A row with a role of a newer release must not hide the other rows of its part.
func TestDecodeSkipsUnknownRows(t *testing.T) {
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
	got, skipped, err := Decode(body)
	if err != nil || skipped != 1 || !slices.Equal(got, []membership.VM{entry("a")}) {
		t.Errorf("decoded %+v, %d rows skipped, error %v", got, skipped, err)
	}
}
