package spread

import (
	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/membership"
)

func ref(vm string) *peerpb.NodeRef { return &peerpb.NodeRef{Vm: vm, Incarnation: 1} }

func noMembers() membership.List { return membership.List{} }

func noDial(string) (grpc.ClientConnInterface, error) {
	return nil, errors.New("no connections in this test")
}
