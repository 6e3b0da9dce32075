package measure

import (
	"io"
	"os"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/bench/chart"
	"github.com/yuccaroute/yuccaroute/bench/experiment"
	"github.com/yuccaroute/yuccaroute/bench/report"
	"github.com/yuccaroute/yuccaroute/bench/scenario"
)

// WriteScenarios lists the scenarios.
func WriteScenarios(out io.Writer) {
	t := table.NewWriter()
	t.SetOutputMirror(out)
	t.SetStyle(table.StyleLight)
	t.AppendHeader(table.Row{"scenario", "size counts", "largest", "what is measured"})
	for _, s := range scenario.All() {
		t.AppendRow(table.Row{s.Name, s.SizeName, s.MaxSize, s.Summary})
	}
	t.Render()
}

// Save writes a result as JSON and as plots; "" leaves one out. It returns the
// names of the files written.
func Save(result *report.Result, jsonFile, plotDirectory string) ([]string, error) {
	var names []string
	if jsonFile != "" {
		if err := saveJSON(result, jsonFile); err != nil {
			return nil, err
		}
		names = append(names, jsonFile)
	}
	if plotDirectory == "" {
		return names, nil
	}
	plots, err := chart.WriteAll(result, plotDirectory)
	return append(names, plots...), err
}

func saveJSON(result *report.Result, name string) error {
	file, err := os.Create(name)
	if err != nil {
		return errors.Wrap(err, "write result")
	}
	if err := result.WriteJSON(file); err != nil {
		_ = file.Close()
		return errors.Wrap(err, name)
	}
	return errors.Wrap(file.Close(), "write result")
}

// Load reads a result that Save wrote.
func Load(name string) (*report.Result, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "read result")
	}
	defer file.Close()
	result, err := report.ReadJSON(file)
	return result, errors.Wrap(err, name)
}

// Compare compares two results with the bounds of an experiment file; "" has
// none.
func Compare(earlierFile, laterFile, experimentFile string) (*report.Comparison, error) {
	earlier, err := Load(earlierFile)
	if err != nil {
		return nil, err
	}
	later, err := Load(laterFile)
	if err != nil {
		return nil, err
	}
	var bounds []report.RatioBound
	if experimentFile != "" {
		text, err := os.ReadFile(experimentFile)
		if err != nil {
			return nil, errors.Wrap(err, "read experiment")
		}
		e, err := experiment.Parse(text)
		if err != nil {
			return nil, errors.Wrap(err, experimentFile)
		}
		bounds = e.Compare
	}
	comparison := report.Compare(earlier, later, bounds)
	return &comparison, nil
}
