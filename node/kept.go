package node

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/membership"
	"github.com/yuccaroute/yuccaroute/proxy"
	"github.com/yuccaroute/yuccaroute/proxy/forward"
	"github.com/yuccaroute/yuccaroute/proxy/kept"
	"github.com/yuccaroute/yuccaroute/proxy/keys"
)

// keptServer answers other nodes with the answers that this one keeps.
type keptServer struct {
	peerpb.UnimplementedKeptServer
	proxy *proxy.Proxy
}

// Answer implements peerpb.KeptServer.
func (s *keptServer) Answer(ctx context.Context, r *peerpb.AnswerRequest) (*peerpb.AnswerResponse, error) {
	var print kept.Fingerprint
	if copy(print.Work[:], r.Work) != len(r.Work) || copy(print.Sender[:], r.Sender) != len(r.Sender) {
		return nil, errors.New("node: a hash of another length")
	}
	key := keys.Key{Account: model.AccountName(r.Account), Service: model.ServiceName(r.Service), Text: r.Key}
	answer, code := s.proxy.KeptAnswer(ctx, key, print)
	if answer == nil {
		return &peerpb.AnswerResponse{Code: uint32(code)}, nil
	}
	return encodeAnswer(answer), nil
}

// askKept implements proxy.FetchAnswerFunc.
func (n *Node) askKept(ctx context.Context, vm string, key keys.Key, print kept.Fingerprint) (*kept.Response, result.Code) {
	address, listed := n.peerOf(vm)
	if !listed {
		return nil, result.DuplicateKey
	}
	conn, err := n.peers.Dial(address)
	if err != nil {
		return nil, result.DuplicateKey
	}
	r, err := peerpb.NewKeptClient(conn).Answer(ctx, &peerpb.AnswerRequest{
		Account: string(key.Account), Service: string(key.Service), Key: key.Text,
		Work: print.Work[:], Sender: print.Sender[:],
	})
	if err != nil {
		return nil, result.DuplicateKey
	}
	if r.Code != uint32(result.OK) {
		return nil, result.Code(r.Code)
	}
	return decodeAnswer(r), result.OK
}

// peerOf returns where other nodes reach an entry VM.
func (n *Node) peerOf(vm string) (address string, listed bool) {
	list := n.members()
	for i := range list.VMs {
		if list.VMs[i].ID == vm && list.VMs[i].Role == membership.RoleEntry {
			return list.VMs[i].Peer.String(), true
		}
	}
	return "", false
}

func encodeAnswer(a *kept.Response) *peerpb.AnswerResponse {
	r := &peerpb.AnswerResponse{
		Status: uint32(a.Status), Body: a.Body, NoBody: a.NoBody, Place: a.Place, Target: a.Target,
	}
	for name, values := range a.Header {
		r.Fields = append(r.Fields, &peerpb.AnswerField{Name: name, Values: values})
	}
	return r
}

func decodeAnswer(r *peerpb.AnswerResponse) *kept.Response {
	header := make(http.Header, len(r.Fields))
	for _, field := range r.Fields {
		header[field.Name] = field.Values
	}
	return &kept.Response{
		Response: forward.Response{Status: int(r.Status), Header: header, Body: r.Body, NoBody: r.NoBody},
		Place:    r.Place,
		Target:   r.Target,
	}
}
