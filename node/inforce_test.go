package node_test

import (
	"testing"

	"github.com/yuccaroute/yuccaroute/admin/client"
	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/config/source"
	"github.com/yuccaroute/yuccaroute/spread/transport"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

// A node that has received an account which it cannot use must not report it as in force.
func TestReceivedIsNotInForce(t *testing.T) {
	s := newSystem(t)
	n := s.add("entry-0", places[0])
	api := client.New("http://"+n.AdminAddress(), "", nil)
	s.until("the account is in force", func() bool {
		live, err := api.LiveAccount(s.ctx, accountName)
		return err == nil && live.Sequence > 0
	})
	before, err := api.LiveAccount(s.ctx, accountName)
	if err != nil {
		t.Fatal(err)
	}
	pool := transport.NewPool(grpc.WithTransportCredentials(insecure.NewCredentials()))
	t.Cleanup(pool.Close)
	conn, err := pool.Dial(n.VM().Peer.String())
	if err != nil {
		t.Fatal(err)
	}
	peer := peerpb.NewSpreadClient(conn)
	version := &peerpb.Version{Key: source.Key(accountName), Epoch: before.Epoch, Sequence: before.Sequence + 1}
	offer := &peerpb.CompareRequest{Items: []*peerpb.Item{{Version: version, Body: []byte("of a later release")}}}
	if _, err := peer.Compare(s.ctx, offer); err != nil {
		t.Fatal(err)
	}
	live, err := api.LiveAccount(s.ctx, accountName)
	if err != nil || live.Sequence != before.Sequence {
		t.Errorf("the account is told as in force at %+v, %v, it is at %d", live, err, before.Sequence)
	}
	survey, err := peer.Survey(s.ctx, &peerpb.SurveyRequest{Key: source.Key(accountName)})
	if err != nil || len(survey.Rows) != 1 || survey.Rows[0].Sequence != before.Sequence {
		t.Errorf("peers are told %v, %v", survey, err)
	}
	status, err := api.Status(s.ctx, accountName)
	if err != nil || status.Nodes[0].State != wire.NodeInForce || status.Nodes[0].Sequence != before.Sequence {
		t.Errorf("operators are told %+v, %v", status, err)
	}
}
