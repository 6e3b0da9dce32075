package measure

import (
	"os"

	"github.com/goccy/go-json"
	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/bench/chart"
	"github.com/yuccaroute/yuccaroute/demo"
)

// SaveSeries plots a run as one PNG: a row for each service, with the requests
// by place and the latencies. account "" takes all.
func SaveSeries(s *demo.Series, account, name string) error {
	timeline := &chart.Timeline{}
	for i := range s.Services {
		service := &s.Services[i]
		if account == "" || string(service.Account) == account {
			timeline.Rows = append(timeline.Rows, []chart.Panel{byPlace(service), latencies(service)})
		}
	}
	if len(timeline.Rows) == 0 {
		return errors.Errorf("the run has no account %s", account)
	}
	for _, mark := range s.Marks {
		timeline.Marks = append(timeline.Marks, chart.Mark{Seconds: mark.AtSeconds, Text: mark.What})
	}
	return chart.WriteTimeline(timeline, name)
}

func byPlace(s *demo.ServiceSeries) chart.Panel {
	panel := chart.Panel{Title: string(s.Account) + " " + string(s.Service) + ": ran, by place", Unit: "requests/s"}
	for _, place := range s.Places {
		panel.Lines = append(panel.Lines, chart.Line{Name: string(place.Place), Values: place.RPS})
	}
	refused := chart.Line{Name: "not run"}
	for _, second := range s.Seconds {
		refused.Values = append(refused.Values, float64(second.Refused))
	}
	panel.Lines = append(panel.Lines, refused)
	return panel
}

func latencies(s *demo.ServiceSeries) chart.Panel {
	p50, p99 := chart.Line{Name: "p50"}, chart.Line{Name: "p99"}
	for _, second := range s.Seconds {
		p50.Values = append(p50.Values, second.P50MS)
		p99.Values = append(p99.Values, second.P99MS)
	}
	return chart.Panel{
		Title: string(s.Account) + " " + string(s.Service) + ": latency of what ran",
		Unit:  "ms",
		Lines: []chart.Line{p50, p99},
	}
}

// SaveSeriesJSON writes the values of a run, one a second.
func SaveSeriesJSON(s *demo.Series, name string) error {
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode series")
	}
	return errors.Wrap(os.WriteFile(name, append(text, '\n'), 0o644), "write series")
}
