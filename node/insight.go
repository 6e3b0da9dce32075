package node

import (
	"context"
	"time"

	"github.com/goccy/go-json"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/config"
	"github.com/yuccaroute/yuccaroute/steering"
	"github.com/yuccaroute/yuccaroute/steering/explain"
	"github.com/yuccaroute/yuccaroute/steering/forecast"
)

// insightServer answers other nodes with what this node knows as a decider.
type insightServer struct {
	peerpb.UnimplementedInsightServer
	node *Node
}

// Explain implements peerpb.InsightServer.
func (s *insightServer) Explain(_ context.Context, r *peerpb.ExplainRequest) (*peerpb.ExplainResponse, error) {
	decision, ok := s.node.decision(model.AccountName(r.Account))
	if !ok {
		return &peerpb.ExplainResponse{Code: uint32(result.NotLeader)}, nil
	}
	report, err := json.Marshal(explain.NewReport(decision))
	if err != nil {
		return nil, err
	}
	return &peerpb.ExplainResponse{Report: report}, nil
}

// Forecast implements peerpb.InsightServer.
func (s *insightServer) Forecast(_ context.Context, r *peerpb.ForecastRequest) (*peerpb.ForecastResponse, error) {
	name := model.AccountName(r.Account)
	input, known := s.node.planner.LastInput(name)
	if _, deciding := s.node.decision(name); !deciding || !known {
		return &peerpb.ForecastResponse{Code: uint32(result.NotLeader)}, nil
	}
	changed, err := config.Decode(r.Changed)
	if err != nil {
		return &peerpb.ForecastResponse{Code: uint32(result.InvalidChange)}, nil
	}
	made := input.Now
	input.Now = time.Now()
	f := forecast.Run(input, changed)
	body, err := json.Marshal(f)
	if err != nil {
		return nil, err
	}
	return &peerpb.ForecastResponse{Forecast: body, PictureAgeMs: pictureAge(&input, made)}, nil
}

// decision returns the last decision this node made for an account; ok is
// false when it does not decide for it.
func (n *Node) decision(account model.AccountName) (*steering.Decision, bool) {
	explanation, ok := n.control.Explain(account)
	if !ok {
		return nil, false
	}
	d, ok := explanation.(steering.Decision)
	return &d, ok
}

// pictureAge returns the age of the newest measurement in ms, -1 for none.
func pictureAge(input *steering.Input, made time.Time) int64 {
	newest := time.Duration(-1)
	for _, d := range input.Demand {
		if newest < 0 || d.Age < newest {
			newest = d.Age
		}
	}
	if newest < 0 {
		return -1
	}
	return (newest + input.Now.Sub(made)).Milliseconds()
}
